import type {Update} from '@samphireramp/kernel';
import {requestAdvice} from './adviceFlow';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  hasRequiredTicket,
  isPermitted,
} from './candidates';
import {stepIdOf} from './readySteps';

/** Requests advice on workers for which the step lacks it or a valid ticket. */
export function requestMoreAdvice(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): void {
  const terms = readyStep.policy.advice;
  if (terms === undefined) {
    return;
  }
  const needsAdvice = (candidate: Candidate) =>
    !advice.queriedWorkers.has(candidate.worker.id) ||
    needsNewTicket(update, readyStep, advice, candidate);
  const hasResources = (candidate: Candidate) =>
    countFittingTasks(candidate, readyStep) > 0;
  const unadvised = suitable.filter(needsAdvice);
  // Whether a worker may run a step never changes, and each further worker adds
  // little to the time of a request: the first one includes full workers too.
  if (advice.queriedWorkers.size === 0 || unadvised.some(hasResources)) {
    const ids = unadvised.map(({worker}) => worker.id);
    requestAdvice(update, self, stepIdOf(readyStep), terms, ids);
  }
}

/** Whether a step is permitted on a worker, but has no valid ticket for it. */
function needsNewTicket(
  update: Update,
  readyStep: ReadyStep,
  advice: StepAdvice,
  {worker}: Candidate,
): boolean {
  return (
    isPermitted(worker, readyStep, advice) &&
    !hasRequiredTicket(worker, readyStep, advice, update.now)
  );
}
