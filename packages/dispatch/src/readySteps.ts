import type {StateReader} from '@samphireramp/kernel';
import type {StepId} from '@samphireramp/jobs';
import {type ReadyStep, URGENT_PRIORITY} from './candidates';
import {type JobRow, listActiveJobs, policyOf} from './DispatchState';
import type {PlacementScope} from './messages';
import {listReadyStepsOfJob} from './readyStepsOfJob';

/**
 * Lists the steps of a scope with tasks that can be placed now, by priority of their queue
 * and then by the objective of their job, counted from its virtual arrival.
 */
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
  return readySteps.sort(
    (a, b) =>
      a.policy.priority - b.policy.priority ||
      virtualObjectiveAt(a.row) - virtualObjectiveAt(b.row),
  );
}

/** The objective of a job, had it arrived when its account was entitled to send it. */
function virtualObjectiveAt({objectiveAt, virtualDelayMillis}: JobRow): number {
  return objectiveAt + virtualDelayMillis;
}

/** Returns the identity of a ready step. */
export function stepIdOf({row, occurrence, stepNumber}: ReadyStep): StepId {
  const {id: jobId} = row.job;
  return {jobId, occurrence: occurrence.number, step: stepNumber};
}
