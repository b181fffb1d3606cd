import {requestMoreAdvice, spreadOver} from './adviceNeeds';
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
  isSuspected,
} from './candidates';
import type {PlacementPass} from './PlacementPass';
import {speedBonus} from './speedBonus';
import {chooseTrialPlacements} from './trialPlacement';

/** Chooses workers for the tasks of a step, one by one until none fits. */
export function chooseTaskPlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
): Placement[] {
  const startable = listStartable(pass, readyStep, advice);
  const placements = chooseTrialPlacements(pass, readyStep, startable);
  const placedOn = new Map<Candidate, number>();
  const suspected = new Set(
    readyStep.openTasks.filter(index => isSuspected(readyStep, index)),
  );
  const untriedSuspects = suspected.size - placements.length;
  const mostPlacements = pass.mostPlacements(readyStep);
  for (const index of readyStep.openTasks) {
    if (placements.length >= mostPlacements) {
      break;
    }
    if (suspected.has(index)) {
      continue;
    }
    const candidate = chooseBestFit(startable, readyStep, placedOn);
    if (candidate === undefined) {
      if (readyStep.policy.advice === undefined) {
        pass.recordUnfitting(readyStep);
      }
      break;
    }
    deductTasks(candidate, readyStep, 1);
    placements.push({index, candidate});
    placedOn.set(candidate, (placedOn.get(candidate) ?? 0) + 1);
  }
  // Suspected tasks that wait for the trials of others need no advice.
  const waitingSuspects = pass.mayBeginTrial() ? 0 : untriedSuspects;
  const tasksLeft =
    pass.tasksWithinQuota(readyStep) - placements.length - waitingSuspects;
  if (tasksLeft > 0) {
    requestMoreAdvice(pass, readyStep, advice, tasksLeft, () =>
      spreadOver(pass.suitableFor(readyStep), readyStep),
    );
  }
  return placements;
}

/** Lists the workers on which a step may start now; none if none of them has room. */
function listStartable(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
): readonly Candidate[] {
  const mayStartOn = ({worker}: Candidate) =>
    hasRequiredTicket(worker, readyStep, advice, pass.update.now);
  return pass.withRoomFor(readyStep).some(mayStartOn)
    ? pass.permittedFor(readyStep, advice).filter(mayStartOn)
    : [];
}

/**
 * Chooses a worker near the data if one fits, then the least free one. For an urgent
 * step the fastest comes first; for others a faster one counts as less free, or as more
 * free if their jobs may take long.
 */
export function chooseBestFit(
  startable: readonly Candidate[],
  readyStep: ReadyStep,
  placedOn: ReadonlyMap<Candidate, number>,
): Candidate | undefined {
  let bestCandidate: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of startable) {
    // Free resources exclude these placements already, the limit doesn't.
    const limit = readyStep.step.mostOnOneWorker;
    const fits =
      countFittingTasks(candidate, readyStep) >
      (limit > 0 ? (placedOn.get(candidate) ?? 0) : 0);
    if (!fits) {
      continue;
    }
    const score =
      freeShare(candidate) -
      speedBonus(candidate, readyStep) +
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
