import {type QueuePolicy, isStepReady} from '@samphireramp/jobs';
import {type ReadyStep, makeReadyStep} from './candidates';
import type {JobRow} from './DispatchState';

interface KnownSteps {
  readonly policy: QueuePolicy;
  readonly readySteps: readonly ReadyStep[];
}

/** Ready steps by the row of their job: a change of the job replaces the row. */
const knownStepsByRow = new WeakMap<JobRow, KnownSteps>();

/** Lists the steps of a job with tasks that can be placed now. */
export function listReadyStepsOfJob(
  row: JobRow,
  policy: QueuePolicy,
): readonly ReadyStep[] {
  const known = knownStepsByRow.get(row);
  if (known?.policy === policy) {
    return known.readySteps;
  }
  const readySteps: ReadyStep[] = [];
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
  knownStepsByRow.set(row, {policy, readySteps});
  return readySteps;
}
