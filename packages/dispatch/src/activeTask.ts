import type {StateReader} from '@samphireramp/kernel';
import {
  type RunId,
  type Step,
  type Task,
  findTask,
  isFinalState,
} from '@samphireramp/jobs';
import {JOBS, type JobRow} from './DispatchState';

/** A task of a job that is not over, with its job and step. */
export interface ActiveTask {
  readonly row: JobRow;
  readonly step: Step;
  readonly task: Task;
}

/** Finds the task of a run; undefined if its job or occurrence is over. */
export function findActiveTask(
  state: StateReader,
  runId: RunId,
): ActiveTask | undefined {
  const row = state.read(JOBS).get(runId.jobId);
  if (row === undefined || isFinalState(row.progress.state)) {
    return undefined;
  }
  const task = findTask(row.progress, runId);
  const step = row.job.steps[runId.step];
  return task && step && {row, step, task};
}
