import {RUNS, countRecentCrashes} from '@samphireramp/fleet';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  countTasksOnEmptyWorker,
  deductTasks,
  isNearData,
  trialOf,
} from './candidates';
import type {Trial} from './crashSuspects';
import {KEPT_WORKERS, isYoung} from './crashTrials';
import type {PlacementPass} from './PlacementPass';

/** Number of runs that a run which has just begun counts as. */
const RUNS_PER_YOUNG_RUN = 1000;
/** Number of runs that a rack without the data counts as. */
const RUNS_PER_REMOTE_RACK = 100;
/** Number of runs that a recent crash of a worker counts as. */
const RUNS_PER_CRASH = 10_000;
/**
 * A worker whose runs have not ended this long after it was kept is used beside
 * them: long runs would otherwise keep a task from being started at all.
 */
const MAX_KEEP_MILLIS = 6000;

/**
 * Chooses workers for the tasks of a step that are tried `quiet` or `alone`: one for
 * each, on which no other task starts meanwhile. Keeps workers for those that wait.
 */
export function chooseTrialPlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Placement[] {
  const placements: Placement[] = [];
  for (const index of readyStep.openTasks) {
    const trial = trialOf(readyStep, index);
    if (trial === 'none' || trial === 'apart') {
      continue;
    }
    if (!pass.mayBeginTrial()) {
      break;
    }
    const candidate =
      trial === 'alone'
        ? chooseEmptyWorker(pass, readyStep, startable)
        : chooseQuietWorker(pass, readyStep, startable);
    if (candidate !== undefined) {
      pass.beginTrial(candidate);
      pass.addSuspect(candidate);
      deductTasks(candidate, readyStep, 1);
      placements.push({index, candidate});
    }
  }
  return placements;
}

/**
 * Places a gang that is tried alone on workers without other runs, and keeps workers
 * for it if they don't suffice. `pack` finds workers for all its tasks.
 */
export function chooseGangTrial(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
  pack: (candidates: readonly Candidate[]) => Placement[] | undefined,
): Placement[] | undefined {
  const usable = startable.filter(each => mayBeUsedAlone(pass, each));
  const kept = usable.filter(each => pass.isKept(each));
  kept.forEach(each => (each.isClosed = false));
  const placements = pack(usable);
  kept.forEach(each => (each.isClosed = true));
  if (placements !== undefined) {
    return placements;
  }
  const fitting = rankForTrial(pass, readyStep, startable).filter(
    each => countTasksOnEmptyWorker(each.worker, readyStep) > 0,
  );
  let tasksLeft = readyStep.openTasks.length;
  const needed: Candidate[] = [];
  for (const candidate of fitting) {
    if (tasksLeft > 0) {
      tasksLeft -= countTasksOnEmptyWorker(candidate.worker, readyStep);
      needed.push(candidate);
    }
  }
  const added = needed.filter(each => !pass.isKept(each)).length;
  if (tasksLeft > 0 || needed.length > pass.maxTrials) {
    // A gang that needs more workers than trials may occupy starts beside others.
    return pack(startable);
  }
  if (added <= pass.countFreeTrials()) {
    needed.forEach(each => pass.keepForTrial(each));
  }
  return undefined;
}

/** Closes the workers of a gang that is tried, but `apart`, to other tasks. */
export function beginGangTrial(
  pass: PlacementPass,
  placements: readonly Placement[],
  trial: Trial,
): void {
  if (trial === 'none') {
    return;
  }
  for (const candidate of new Set(placements.map(each => each.candidate))) {
    pass.addSuspect(candidate);
    if (trial !== 'apart') {
      pass.beginTrial(candidate);
    }
  }
}

/** Chooses a worker without runs for a task, or keeps one for it. */
function chooseEmptyWorker(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Candidate | undefined {
  const ranked = rankForTrial(pass, readyStep, startable).filter(
    each => countTasksOnEmptyWorker(each.worker, readyStep) > 0,
  );
  const usable = ranked.find(
    each => mayBeUsedAlone(pass, each) && fits(pass, each, readyStep),
  );
  if (usable !== undefined) {
    return usable;
  }
  const kept = ranked.find(each => pass.isKept(each));
  if (kept !== undefined) {
    pass.claimKept(kept);
    return undefined;
  }
  const [next] = ranked.filter(each => !each.isClosed);
  if (next !== undefined && pass.countFreeTrials() > 0) {
    pass.keepForTrial(next);
    pass.claimKept(next);
  }
  return undefined;
}

/** Whether a worker has no runs, or was kept for so long that others may go on. */
function mayBeUsedAlone(pass: PlacementPass, candidate: Candidate): boolean {
  if (pass.countRuns(candidate) === 0) {
    return pass.isKept(candidate) || !candidate.isClosed;
  }
  const {incarnation} = candidate.worker;
  const since = pass.update.read(KEPT_WORKERS).get(incarnation)?.since;
  return (
    pass.isKept(candidate) &&
    since !== undefined &&
    pass.update.now - since > MAX_KEEP_MILLIS
  );
}

/** Whether a task fits on a worker, also on one that is kept for trials. */
function fits(
  pass: PlacementPass,
  candidate: Candidate,
  readyStep: ReadyStep,
): boolean {
  const isClosed = candidate.isClosed && !pass.isKept(candidate);
  return countFittingTasks({...candidate, isClosed}, readyStep) > 0;
}

/** Chooses the worker with the fewest runs to lose, one without young runs if there is one. */
function chooseQuietWorker(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Candidate | undefined {
  if (pass.countFreeTrials() === 0) {
    return undefined;
  }
  return rankForTrial(
    pass,
    readyStep,
    startable.filter(each => countFittingTasks(each, readyStep) > 0),
  )[0];
}

/** Sorts workers: those that crashed least, near the data, with the fewest runs. */
function rankForTrial(
  pass: PlacementPass,
  readyStep: ReadyStep,
  candidates: readonly Candidate[],
): Candidate[] {
  const {update} = pass;
  const scoreOf = (candidate: Candidate) => {
    const {id, incarnation} = candidate.worker;
    const runs = update.read(RUNS).withKey(incarnation);
    return (
      runs.length +
      (isNearData(candidate, readyStep) ? 0 : RUNS_PER_REMOTE_RACK) +
      (runs.some(run => isYoung(run, update.now)) ? RUNS_PER_YOUNG_RUN : 0) +
      countRecentCrashes(update, id) * RUNS_PER_CRASH
    );
  };
  return candidates
    .map(candidate => ({candidate, score: scoreOf(candidate)}))
    .sort((a, b) => a.score - b.score)
    .map(({candidate}) => candidate);
}
