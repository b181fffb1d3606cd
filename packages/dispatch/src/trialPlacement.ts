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

/** Added to the score of a worker on which another run has just begun. */
const YOUNG_RUN_PENALTY = 1000;
/** Added to the score on a rack without the data; exceeds most counts of runs. */
const REMOTE_DATA_PENALTY = 100;

/**
 * Chooses workers for the tasks of a step that are suspected to crash workers: one
 * for each, on which no other task starts meanwhile.
 */
export function chooseTrialPlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
  startable: readonly Candidate[],
): Placement[] {
  const placements: Placement[] = [];
  for (const index of readyStep.openTasks) {
    if (!isSuspected(readyStep, index)) {
      continue;
    }
    const candidate = pass.mayBeginTrial()
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

/** Chooses the worker with the fewest runs to lose, none of which has just begun. */
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
      (isNearData(candidate, readyStep) ? 0 : REMOTE_DATA_PENALTY) +
      (runs.some(run => isYoung(run, update.now)) ? YOUNG_RUN_PENALTY : 0);
    if (score < bestScore) {
      bestCandidate = candidate;
      bestScore = score;
    }
  }
  return bestCandidate;
}
