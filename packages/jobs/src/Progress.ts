import * as z from 'zod/mini';
import {type Job, jobStateSchema} from './Job';

/** How far one task is. */
export const taskSchema = z.object({
  phase: z.enum(['open', 'placed', 'done']),
  /** Number of its last run; 0 before the first. */
  run: z.number(),
  /** Numbers of its runs that ended as failed. */
  failedRuns: z.array(z.number()),
  /** Where the next run may resume; empty for the beginning. */
  checkpoint: z.string(),
  /** The life of a worker that the run is placed on; empty unless placed. */
  worker: z.string(),
});

/** One time that the steps of a job are run. */
export const occurrenceSchema = z.object({
  number: z.number(),
  /** Tasks by step and index. */
  steps: z.array(z.array(taskSchema)),
});

/** How far a job is: all that a new holder needs beside the job itself. */
export const progressSchema = z.object({
  jobId: z.string(),
  queue: z.string(),
  state: jobStateSchema,
  /** Wall-clock milliseconds at which the job was handed in. */
  receivedAt: z.number(),
  /** Wall-clock milliseconds at which it reached its final state; 0 before. */
  endedAt: z.number(),
  /** Occurrences that are under way. */
  occurrences: z.array(occurrenceSchema),
  /** Number of the first occurrence that has not begun. */
  nextOccurrence: z.number(),
});

/** How far one task is. */
export type Task = z.infer<typeof taskSchema>;
/** One time that the steps of a job are run. */
export type Occurrence = z.infer<typeof occurrenceSchema>;
/** How far a job is. */
export type Progress = z.infer<typeof progressSchema>;

/** A task that has never run. */
export const NEW_TASK: Task = {
  phase: 'open',
  run: 0,
  failedRuns: [],
  checkpoint: '',
  worker: '',
};

/** Names one task of a job. */
export interface TaskId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** One try to run a task. */
export interface RunId extends TaskId {
  readonly run: number;
}

/** Names one step of one occurrence. */
export interface StepId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** The progress of a job that nothing was done for. */
export function newProgress(job: Job): Progress {
  return {
    jobId: job.id,
    queue: job.policy.name,
    state: 'queued',
    receivedAt: job.receivedAt,
    endedAt: 0,
    occurrences: [],
    nextOccurrence: 0,
  };
}

/** An occurrence whose tasks have never run. */
export function newOccurrence(job: Job, number: number): Occurrence {
  const steps = job.steps.map(step =>
    Array.from({length: step.count}, () => NEW_TASK),
  );
  return {number, steps};
}

/** Finds a task; undefined if the job has none there. */
export function taskAt(progress: Progress, place: TaskId): Task | undefined {
  return progress.occurrences.find(item => item.number === place.occurrence)
    ?.steps[place.step]?.[place.index];
}

/** Replaces the tasks of a step by what `change` makes of them. */
export function changeStep(
  progress: Progress,
  place: StepId,
  change: (task: Task, index: number) => Task,
): Progress {
  const occurrences = progress.occurrences.map(item =>
    item.number === place.occurrence
      ? {
          ...item,
          steps: item.steps.map((tasks, step) =>
            step === place.step ? tasks.map(change) : tasks,
          ),
        }
      : item,
  );
  return {...progress, occurrences};
}

/** Replaces one task by what `change` makes of it. */
export function changeTask(
  progress: Progress,
  place: TaskId,
  change: (task: Task) => Task,
): Progress {
  return changeStep(progress, place, (task, index) =>
    index === place.index ? change(task) : task,
  );
}

/** Whether all tasks of a step are done. */
export function isStepDone(occurrence: Occurrence, step: number): boolean {
  return (occurrence.steps[step] ?? []).every(task => task.phase === 'done');
}

/** Whether the turn of a step has come. */
export function isStepReady(
  job: Job,
  occurrence: Occurrence,
  step: number,
): boolean {
  return job.steps[step].after.every(before => isStepDone(occurrence, before));
}

/** Whether all steps of an occurrence are done. */
export function isOccurrenceDone(occurrence: Occurrence): boolean {
  return occurrence.steps.every((_, step) => isStepDone(occurrence, step));
}

/** A key that no other task has. */
export function taskKey(place: TaskId): string {
  return `${place.jobId}.${place.occurrence}.${place.step}.${place.index}`;
}

/** A key that no other run has. */
export function runKey(place: RunId): string {
  return `${taskKey(place)}#${place.run}`;
}

/** A key that no other step has. */
export function stepKey(place: StepId): string {
  return `${place.jobId}.${place.occurrence}.${place.step}`;
}
