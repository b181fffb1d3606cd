import type {StateReader} from '@samphireramp/kernel';
import {
  criticalPathMillis,
  isStepDone,
  occurrenceDueAt,
} from '@samphireramp/jobs';
import type {ReadyStep} from './candidates';
import type {PlacementFunctions} from './placementFunctions';
import type {StepUrgency} from './stepOrder';

/** How urgent a ready step is, by the objective of its occurrence. */
export function urgencyOf(
  state: StateReader,
  {row, policy, occurrence}: ReadyStep,
  wallNow: number,
  expectedMillis: PlacementFunctions['expectedMillis'],
): StepUrgency {
  const {job, virtualDelayMillis} = row;
  const millisOf = (step: number) => expectedMillis(state, job, step);
  const remainingMillis = criticalPathMillis(job, step =>
    isStepDone(occurrence, step) ? 0 : millisOf(step),
  );
  const dueAt = occurrenceDueAt(job, occurrence.number);
  const arrivedAt = Math.max(job.receivedAt + virtualDelayMillis, dueAt);
  const objectiveMillis =
    policy.stretch * criticalPathMillis(job, millisOf) + policy.targetMillis;
  return {
    priority: policy.priority,
    isExcess: virtualDelayMillis > 0 && arrivedAt > wallNow,
    arrivedAt,
    latestStartAt: arrivedAt + objectiveMillis - remainingMillis,
  };
}
