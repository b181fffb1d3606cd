import {RUNS} from '@samphireramp/fleet';
import type {Update} from '@samphireramp/kernel';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  isNearData,
  isSuspected,
} from './candidates';
import {isYoung} from './crashTrials';
import type {PlacementPass} from './PlacementPass';

/** Number of runs that a run which has just begun counts as. */
const RUNS_PER_YOUNG_RUN = 1000;
/** Number of runs that a rack without the data counts as. */
const RUNS_PER_REMOTE_RACK = 100;

/**
 * Chooses workers for the tasks of a step that are suspected to crash workers: one
 * for each, on which no other task starts meanwhile, within the limits of the pass.
 */
export function chooseTrialPlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Placement[] {
  const placements: Placement[] = [];
  const mostPlacements = pass.mostPlacements(readyStep);
  for (const index of readyStep.openTasks) {
    if (!isSuspected(readyStep, index)) {
      continue;
    }
    const mayPlace = placements.length < mostPlacements;
    const candidate =
      mayPlace && pass.mayBeginTrial()
        ? chooseTrialWorker(pass.update, readyStep, startable)
        : undefined;
    if (candidate === undefined) {
      break;
    }
    pass.beginTrial(candidate, readyStep);
    placements.push({index, candidate});
  }
  return placements;
}

/** Chooses the worker with the fewest runs to lose, one without young runs if there is one. */
function chooseTrialWorker(
  update: Update,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Candidate | undefined {
  let bestCandidate: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of startable) {
    if (countFittingTasks(candidate, readyStep) === 0) {
      continue;
    }
    const runs = update.read(RUNS).withKey(candidate.worker.incarnation);
    const score =
      runs.length +
      (isNearData(candidate, readyStep) ? 0 : RUNS_PER_REMOTE_RACK) +
      (runs.some(run => isYoung(run, update.now)) ? RUNS_PER_YOUNG_RUN : 0);
    if (score < bestScore) {
      bestCandidate = candidate;
      bestScore = score;
    }
  }
  return bestCandidate;
}
