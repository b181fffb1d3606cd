import type {StateReader} from '@samphireramp/kernel';
import type {Job, Occurrence, StepId} from '@samphireramp/jobs';
import {type ReadyStep, URGENT_PRIORITY} from './candidates';
import {listActiveJobs, policyOf} from './DispatchState';
import {urgencyOf} from './jobUrgency';
import type {PlacementScope} from './messages';
import type {PlacementFunctions} from './placementFunctions';
import {listReadyStepsOfJob} from './readyStepsOfJob';
import {type StepUrgency, orderSteps} from './stepOrder';

/** Lists the steps of a scope with tasks that can be placed now. */
export function listReadySteps(
  state: StateReader,
  scope: PlacementScope,
): ReadyStep[] {
  const readySteps: ReadyStep[] = [];
  for (const row of listActiveJobs(state)) {
    const policy = policyOf(state, row.job);
    if (scope === 'urgent' && policy.priority !== URGENT_PRIORITY) {
      continue;
    }
    readySteps.push(...listReadyStepsOfJob(row, policy));
  }
  return readySteps;
}

/**
 * Lists the ready steps of a scope in the order of placement; `expectedMillis` is asked
 * often, see `rememberExpected`. A pass over the urgent
 * steps leaves out excess ones, which come after less urgent ones of other accounts.
 */
export function orderReadySteps(
  state: StateReader,
  scope: PlacementScope,
  wallNow: number,
  expectedMillis: PlacementFunctions['expectedMillis'],
): readonly ReadyStep[] {
  const urgencyByOccurrence = new Map<Occurrence, StepUrgency>();
  const urgencyOfStep = (step: ReadyStep): StepUrgency => {
    const urgency =
      urgencyByOccurrence.get(step.occurrence) ??
      urgencyOf(state, step, wallNow, expectedMillis);
    urgencyByOccurrence.set(step.occurrence, urgency);
    return urgency;
  };
  const ordered = orderSteps(
    listReadySteps(state, scope),
    urgencyOfStep,
    wallNow,
  );
  return scope === 'urgent'
    ? ordered.entitled
    : [...ordered.entitled, ...ordered.excess];
}

/** Has each expectation computed once, for as long as the state does not change. */
export function rememberExpected(
  expectedMillis: PlacementFunctions['expectedMillis'],
): PlacementFunctions['expectedMillis'] {
  const millisByJob = new Map<Job, number[]>();
  return (state, job, stepNumber) => {
    const millis = millisByJob.get(job) ?? [];
    millisByJob.set(job, millis);
    millis[stepNumber] ??= expectedMillis(state, job, stepNumber);
    return millis[stepNumber];
  };
}

/** Returns the identity of a ready step. */
export function stepIdOf({row, occurrence, stepNumber}: ReadyStep): StepId {
  const {id: jobId} = row.job;
  return {jobId, occurrence: occurrence.number, step: stepNumber};
}
