import type {StateReader, Update} from '@samphireramp/kernel';
import {middleOf} from './predictRunTime';
import {
  MAX_QUEUES,
  MAX_WORKERS,
  QUEUE_ERRORS,
  WORKER_SPEEDS,
  type WorkerRow,
  replaceRow,
} from './runTimeState';

/** Weight of the newest run in the mean of its worker, once there are many. */
const WORKER_WEIGHT = 1 / 24;
/** Number of newest runs of a queue that tell what is common to all workers. */
const QUEUE_SAMPLES = 15;
/** Runs of a queue that must be known for a run to tell about its worker. */
const MIN_QUEUE_SAMPLES = 5;
/** A run moves a mean at most as if it had taken this many times as long. */
const MAX_STEP_FACTOR = 2;
/** Runs at which the mean of a worker counts half. */
const SAMPLES_OF_HALF_WEIGHT = 3;
/** Number of newest runs that tell a worker whose speed has changed. */
const NEWEST_SAMPLES = 5;
/** Runs that must agree on a change of speed. */
const MIN_CHANGE_SAMPLES = 3;
/** A change of speed by this factor counts before the mean follows it. */
const CHANGE_FACTOR = 2;
/**
 * For how long a change of speed counts without runs that confirm it. Afterwards the
 * worker is tried again.
 */
const CHANGE_MILLIS = 10_000;
/** Time without runs after which a worker counts as half as slow. */
const SLOWNESS_HALF_LIFE_MILLIS = 3000;
/** Bounds of the factor of a worker. */
const MAX_SPEED_FACTOR = 16;

/**
 * Returns the speed of a worker: 1 for a normal one, 2 for one on which runs take half
 * as long.
 */
export function workerSpeed(
  state: StateReader,
  incarnation: string,
  now: number,
): number {
  const row = state.read(WORKER_SPEEDS).get(incarnation);
  if (row === undefined) {
    return 1;
  }
  const slowness = Math.exp(logSlowness(row, now));
  return Math.min(
    MAX_SPEED_FACTOR,
    Math.max(1 / MAX_SPEED_FACTOR, 1 / slowness),
  );
}

function logSlowness(row: WorkerRow, now: number): number {
  const learnt =
    (row.logSlowness * row.samples) / (row.samples + SAMPLES_OF_HALF_WEIGHT);
  // A slow worker gets few runs that could show that it has recovered.
  const mean = learnt > 0 ? learnt * decayOf(now - row.learntAt) : learnt;
  if (
    row.newest.length < MIN_CHANGE_SAMPLES ||
    now - row.learntAt > CHANGE_MILLIS
  ) {
    return mean;
  }
  const {newestMiddle} = row;
  const hasChanged = Math.abs(newestMiddle - mean) > Math.log(CHANGE_FACTOR);
  return hasChanged ? newestMiddle : mean;
}

function decayOf(millis: number): number {
  return 0.5 ** (Math.max(0, millis) / SLOWNESS_HALF_LIFE_MILLIS);
}

/**
 * Learns the speed of a worker from the logarithm of actual by expected duration of a
 * run. It is compared to the newest runs of the queue on any worker: what all of them
 * have in common tells about the tasks.
 */
export function learnWorkerSpeed(
  update: Update,
  queue: string,
  incarnation: string,
  logRatio: number,
): void {
  const queueErrors = update.write(QUEUE_ERRORS);
  const known = queueErrors.get(queue) ?? [];
  const newest = [...known, logRatio].slice(-QUEUE_SAMPLES);
  replaceRow(queueErrors, queue, newest, MAX_QUEUES);
  if (known.length < MIN_QUEUE_SAMPLES) {
    return;
  }
  const row = update.read(WORKER_SPEEDS).get(incarnation);
  const samples = (row?.samples ?? 0) + 1;
  const before = row?.logSlowness ?? 0;
  const relative = logRatio - middleOf(newest);
  const weight = Math.max(1 / samples, WORKER_WEIGHT);
  const newestOfWorker = [...(row?.newest ?? []), relative].slice(
    -NEWEST_SAMPLES,
  );
  replaceRow(
    update.write(WORKER_SPEEDS),
    incarnation,
    {
      logSlowness: before + clampStep(relative - before) * weight,
      samples,
      newest: newestOfWorker,
      newestMiddle: middleOf(newestOfWorker),
      learntAt: update.now,
    },
    MAX_WORKERS,
  );
}

function clampStep(step: number): number {
  const limit = Math.log(MAX_STEP_FACTOR);
  return Math.min(limit, Math.max(-limit, step));
}
