import * as z from 'zod/mini';
import {type Job, type Step, jobStateSchema} from './Job';

/** State of one task. */
export const taskSchema = z.object({
  phase: z.enum(['open', 'placed', 'done']),
  /** Number of the latest run; 0 before the first. */
  run: z.number(),
  /** Numbers of the runs that failed; in a gang, those of any of its tasks. */
  failedRuns: z.array(z.number()),
  /**
   * Numbers of the runs under which its worker crashed, as long as the task is
   * suspected; `UNATTRIBUTED_RUN` for a crash under some member of its gang.
   */
  crashedRuns: z.array(z.number()),
  /** Checkpoint from which the next run resumes; empty to start over. */
  checkpoint: z.string(),
  /** Incarnation of the worker of the latest run; empty unless placed. */
  worker: z.string(),
});

/** One repetition of all steps of a job. */
export const occurrenceSchema = z.object({
  number: z.number(),
  /** Tasks by step number and index in the step. */
  steps: z.array(z.array(taskSchema)),
});

/**
 * Execution state of a job. Together with the job itself it is all that a new
 * holder needs to resume it.
 */
export const progressSchema = z.object({
  jobId: z.string(),
  queue: z.string(),
  /** Name of the client account that handed the job in; empty for none. */
  account: z._default(z.string(), ''),
  state: jobStateSchema,
  /** Wall-clock milliseconds at which a host received the job. */
  receivedAt: z.number(),
  /** Wall-clock milliseconds at which it reached a final state; 0 before. */
  endedAt: z.number(),
  /** Occurrences that have started and are not done. */
  occurrences: z.array(occurrenceSchema),
  /** Number of the first occurrence that has not started. */
  nextOccurrence: z.number(),
});

/** State of one task. */
export type Task = z.infer<typeof taskSchema>;
/** One repetition of all steps of a job. */
export type Occurrence = z.infer<typeof occurrenceSchema>;
/** Execution state of a job. */
export type Progress = z.infer<typeof progressSchema>;

/** Stands for a run of a gang of which it isn't known whose worker crashed. */
export const UNATTRIBUTED_RUN = 0;

/** A task that has never run. */
export const NEW_TASK: Task = {
  phase: 'open',
  run: 0,
  failedRuns: [],
  crashedRuns: [],
  checkpoint: '',
  worker: '',
};

/** Identifies one task of a job. */
export interface TaskId {
  readonly jobId: string;
  readonly occurrence: number;
  /** Number of the step in the job. */
  readonly step: number;
  /** Index of the task in the step. */
  readonly index: number;
}

/** Identifies one attempt to execute a task. */
export interface RunId extends TaskId {
  /** Number of the run; 1 for the first run of a task. */
  readonly run: number;
}

/** Identifies one step of one occurrence. */
export interface StepId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** Creates the progress of a job of which no occurrence has started. */
export function newProgress(job: Job): Progress {
  return {
    jobId: job.id,
    queue: job.policy.name,
    account: job.account,
    state: 'queued',
    receivedAt: job.receivedAt,
    endedAt: 0,
    occurrences: [],
    nextOccurrence: 0,
  };
}

/** Creates an occurrence whose tasks have never run. */
export function newOccurrence(job: Job, number: number): Occurrence {
  const steps = job.steps.map(step =>
    Array.from({length: step.count}, () => NEW_TASK),
  );
  return {number, steps};
}

/** Finds a task; undefined if its occurrence, step or index doesn't exist. */
export function findTask(progress: Progress, taskId: TaskId): Task | undefined {
  return progress.occurrences.find(item => item.number === taskId.occurrence)
    ?.steps[taskId.step]?.[taskId.index];
}

/** Returns the progress with `update` applied to each task of a step. */
export function updateStepTasks(
  progress: Progress,
  stepId: StepId,
  update: (task: Task, index: number) => Task,
): Progress {
  return replaceStepTasks(progress, stepId, tasks => tasks.map(update));
}

function replaceStepTasks(
  progress: Progress,
  stepId: StepId,
  replace: (tasks: readonly Task[]) => Task[],
): Progress {
  const occurrences = progress.occurrences.map(item =>
    item.number === stepId.occurrence
      ? {
          ...item,
          steps: item.steps.map((tasks, step) =>
            step === stepId.step ? replace(tasks) : tasks,
          ),
        }
      : item,
  );
  return {...progress, occurrences};
}

/** Returns the progress with `update` applied to one task. */
export function updateTask(
  progress: Progress,
  taskId: TaskId,
  update: (task: Task) => Task,
): Progress {
  return replaceStepTasks(progress, taskId, tasks => {
    const changed = [...tasks];
    if (taskId.index < changed.length) {
      changed[taskId.index] = update(changed[taskId.index]);
    }
    return changed;
  });
}

/** Applies `change` to all tasks of a gang, or else to the task of the run. */
export function updateTasksOfRun(
  progress: Progress,
  step: Step,
  runId: RunId,
  change: (task: Task) => Task,
): Progress {
  return step.isGang
    ? updateStepTasks(progress, runId, change)
    : updateTask(progress, runId, change);
}

/** Returns the progress of a job that has started a task. */
export function markStarted(progress: Progress): Progress {
  return progress.state === 'queued'
    ? {...progress, state: 'running'}
    : progress;
}

/** Whether all tasks of a step are done. */
export function isStepDone(occurrence: Occurrence, step: number): boolean {
  // From the end, as tasks with low indices start first and are done first.
  return !(occurrence.steps[step] ?? []).findLast(
    task => task.phase !== 'done',
  );
}

/** Whether all steps that a step depends on are done. */
export function isStepReady(
  job: Job,
  occurrence: Occurrence,
  step: number,
): boolean {
  return job.steps[step].after.every(dependency =>
    isStepDone(occurrence, dependency),
  );
}

/** Whether all steps of an occurrence are done. */
export function isOccurrenceDone(occurrence: Occurrence): boolean {
  return occurrence.steps.every((_, step) => isStepDone(occurrence, step));
}

/** Unique key of a task. */
export function taskKey(taskId: TaskId): string {
  return `${taskId.jobId}.${taskId.occurrence}.${taskId.step}.${taskId.index}`;
}

/** Unique key of a run. */
export function runKey(runId: RunId): string {
  return `${taskKey(runId)}#${runId.run}`;
}

/** Unique key of a step. */
export function stepKey(stepId: StepId): string {
  return `${stepId.jobId}.${stepId.occurrence}.${stepId.step}`;
}
