import type {StateReader} from '@samphireramp/kernel';
import {type StepId, isStepReady} from '@samphireramp/jobs';
import {type ReadyStep, URGENT_PRIORITY, makeReadyStep} from './candidates';
import {type JobRow, listActiveJobs, policyOf} from './DispatchState';
import type {PlacementScope} from './messages';

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
    for (const occurrence of row.progress.occurrences) {
      row.job.steps.forEach((_, stepNumber) => {
        if (isStepReady(row.job, occurrence, stepNumber)) {
          const readyStep = makeReadyStep(row, policy, occurrence, stepNumber);
          if (readyStep !== undefined) {
            readySteps.push(readyStep);
          }
        }
      });
    }
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
