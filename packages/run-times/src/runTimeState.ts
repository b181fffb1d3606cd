import {type Table, createTableSlice} from '@samphireramp/kernel';
import type {Job, Step} from '@samphireramp/jobs';
import type {RunTimeModel} from './RunTimeModel';
import type {SampleWindows} from './SampleWindows';

/** Maximum queues of which something is known; about 10 KB each. */
export const MAX_QUEUES = 128;
/** Maximum shapes of steps of which something is known; about 6 KB each. */
export const MAX_SHAPES = 256;
/** Maximum steps of jobs of which something is known; about 300 bytes each. */
export const MAX_STEPS = 4096;
/** Maximum workers of which something is known; about 200 bytes each. */
export const MAX_WORKERS = 32_768;

/** What is known of a queue. */
export interface QueueRow {
  readonly model: RunTimeModel;
  /** Actual by predicted durations, in units of `RATIO_UNIT`. */
  readonly errors: SampleWindows;
  /**
   * Mean square of the difference of the logarithms of actual durations and those
   * predicted without the other tasks of the step.
   */
  readonly modelVariance: number;
  /** The same for durations predicted from the other tasks of the step alone. */
  readonly stepVariance: number;
}

/** What is known of a step of a job: the newest logarithms of durations. */
export interface StepRow {
  readonly logMillis: readonly number[];
  /** Their median. */
  readonly middle: number;
}

/** What is known of the speed of a worker. */
export interface WorkerRow {
  /** Mean logarithm of actual by expected duration, compared to other workers. */
  readonly logSlowness: number;
  readonly samples: number;
  /** The newest logarithms of actual by expected duration. */
  readonly newest: readonly number[];
  /** Their median. */
  readonly newestMiddle: number;
  readonly learntAt: number;
}

/** What is known, by the name of the queue. */
export const QUEUE_RUN_TIMES = createTableSlice<QueueRow>('queue-run-times');
/** What is known, by the shape of the step. */
export const SHAPE_RUN_TIMES =
  createTableSlice<RunTimeModel>('shape-run-times');
/** What is known, by job and step. */
export const STEP_RUN_TIMES = createTableSlice<StepRow>('step-run-times');
/** The newest logarithms of actual by expected duration, by the name of the queue. */
export const QUEUE_ERRORS = createTableSlice<readonly number[]>('queue-errors');
/** What is known, by incarnation of the worker. */
export const WORKER_SPEEDS = createTableSlice<WorkerRow>('worker-speeds');

/** Identifies steps that are alike, of the jobs of a queue. */
export function shapeKey({policy}: Job, step: Step, stepNumber: number) {
  const {cpuMillis, memoryMegabytes, accelerators} = step.need;
  const need = `${cpuMillis}/${memoryMegabytes}/${accelerators}`;
  return `${policy.name}/${stepNumber}/${step.isGang ? 'gang' : 'tasks'}/${need}`;
}

/** Identifies a step of a job. */
export function stepOfJobKey({id}: Job, stepNumber: number): string {
  return `${id}/${stepNumber}`;
}

/** Replaces a row; of too many rows, drops the one not replaced for longest. */
export function replaceRow<Row>(
  table: Table<Row>,
  key: string,
  row: Row,
  maxRows: number,
): void {
  // Deleted first, so that the order of the rows is that of their replacement.
  table.delete(key);
  table.set(key, row);
  if (table.size > maxRows) {
    const [oldest] = table.keys();
    table.delete(oldest);
  }
}
