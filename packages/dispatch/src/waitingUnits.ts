import type {StateReader} from '@samphireramp/kernel';
import {type StepId, isStepReady} from '@samphireramp/jobs';
import {type Unit, makeUnit} from './candidates';
import {activeJobs, policyOf} from './DispatchState';

/** Steps with tasks that may run now, the most urgent first. */
export function unitsInOrder(state: StateReader): Unit[] {
  const units: Unit[] = [];
  for (const row of activeJobs(state)) {
    const policy = policyOf(state, row.job);
    for (const occurrence of row.progress.occurrences) {
      row.job.steps.forEach((_, stepNumber) => {
        if (isStepReady(row.job, occurrence, stepNumber)) {
          const unit = makeUnit(row, policy, occurrence, stepNumber);
          if (unit !== undefined) {
            units.push(unit);
          }
        }
      });
    }
  }
  return units.sort(
    (a, b) =>
      a.policy.priority - b.policy.priority ||
      a.row.objectiveAt - b.row.objectiveAt,
  );
}

/** Names the step of a unit. */
export function placeOf({row, occurrence, stepNumber}: Unit): StepId {
  const {id: jobId} = row.job;
  return {jobId, occurrence: occurrence.number, step: stepNumber};
}
