import type {Update} from '@samphireramp/kernel';
import {requestMoreAdvice} from './adviceNeeds';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  deductTasks,
  freeShare,
  hasRequiredTicket,
  isNearData,
} from './candidates';

/** Chooses workers for the tasks of a step, one by one until none fits. */
export function chooseTaskPlacements(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): Placement[] {
  const startable = suitable.filter(({worker}) =>
    hasRequiredTicket(worker, readyStep, advice, update.now),
  );
  const placements: Placement[] = [];
  for (const index of readyStep.openTasks) {
    const candidate = chooseBestFit(startable, readyStep, placements);
    if (candidate === undefined) {
      break;
    }
    deductTasks(candidate, readyStep, 1);
    placements.push({index, candidate});
  }
  if (placements.length < readyStep.openTasks.length) {
    requestMoreAdvice(update, self, readyStep, advice, suitable);
  }
  return placements;
}

/** Chooses a worker near the data if one fits, then the least free one. */
function chooseBestFit(
  startable: readonly Candidate[],
  readyStep: ReadyStep,
  placements: readonly Placement[],
): Candidate | undefined {
  let bestCandidate: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of startable) {
    const onCandidate = placements.filter(
      placement => placement.candidate === candidate,
    );
    // Free resources exclude these placements already, the limit doesn't.
    const limit = readyStep.step.mostOnOneWorker;
    const fits =
      countFittingTasks(candidate, readyStep) >
      (limit > 0 ? onCandidate.length : 0);
    if (!fits) {
      continue;
    }
    const score =
      freeShare(candidate) +
      (isNearData(candidate, readyStep) ? 0 : REMOTE_DATA_PENALTY);
    if (score < bestScore) {
      bestCandidate = candidate;
      bestScore = score;
    }
  }
  return bestCandidate;
}

/** Added to the score on a rack without the data; exceeds any free share. */
const REMOTE_DATA_PENALTY = 10;
