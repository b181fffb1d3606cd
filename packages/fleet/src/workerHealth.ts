import {
  type StateReader,
  type Update,
  createValueSlice,
} from '@samphireramp/kernel';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT} from './messages';
import type {Worker} from './Worker';

/** Consecutive failures of different jobs after which a worker is avoided. */
const MIN_FAILURES_TO_AVOID = 2;
/**
 * How long a worker is avoided once it has MIN_FAILURES_TO_AVOID consecutive
 * failures; each further failure adds as much.
 */
const AVOID_MILLIS_PER_FAILURE = 2500;
/** Longest time for which a worker is avoided because of failures. */
const MAX_AVOID_MILLIS = 10_000;
/**
 * For how long a worker that was avoided gets only PROBATION_RUNS new runs at once,
 * unless one of them takes about as long as expected.
 */
const PROBATION_MILLIS = 5000;
/** Number of new runs on a worker on probation. */
const PROBATION_RUNS = 2;
/** A run that takes at most this many times as long as others ends a probation. */
const SOUND_FACTOR = 2;

/**
 * Counts a failed run against its worker, which may have caused the failure,
 * and avoids a worker with several consecutive failures. Callers report only
 * the first failed run of a task; repeated failures of one job count once.
 */
export function recordFailure(
  update: Update,
  incarnation: string,
  jobId: string,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || worker.lastFailedJobId === jobId) {
    return;
  }
  const consecutiveFailures = worker.consecutiveFailures + 1;
  const penalties = consecutiveFailures - MIN_FAILURES_TO_AVOID + 1;
  const avoidMillis = Math.min(
    MAX_AVOID_MILLIS,
    Math.max(0, penalties) * AVOID_MILLIS_PER_FAILURE,
  );
  changeWorker(update, incarnation, {
    consecutiveFailures,
    lastFailedJobId: jobId,
  });
  if (avoidMillis > 0) {
    const detail = `failures-in-row-${consecutiveFailures}`;
    avoidWorker(update, incarnation, avoidMillis, detail);
  }
}

/** Resets the consecutive failures of a worker after a run succeeded there. */
export function recordSuccess(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker !== undefined && worker.consecutiveFailures > 0) {
    changeWorker(update, incarnation, {
      consecutiveFailures: 0,
      lastFailedJobId: '',
    });
  }
}

/** Weight of a new run in the moving average of its worker. */
const WORKER_SAMPLE_WEIGHT = 0.35;
/** Weight of a new run in the moving average over all workers. */
const FLEET_SAMPLE_WEIGHT = 0.02;
/**
 * A worker is slow if its runs take this many times as long, against their
 * estimates, as those of all workers do on average.
 */
const SLOW_FACTOR = 3.5;
/** Smallest number of runs at which a worker can count as slow. */
const MIN_SLOWDOWN_SAMPLES = 4;
/** The same on probation, as the runs before it were slow. */
const MIN_PROBATION_SAMPLES = 2;
/** Number of newest runs on all workers with which a run is compared, too. */
const NEWEST_RUNS = 15;
/** How long a slow worker is avoided. */
const SLOW_AVOID_MILLIS = 3000;

/** Moving average of log2(actual / expected duration) over all workers. */
export const FLEET_LOG_SLOWDOWN = createValueSlice('fleet-slowness', 0);
/**
 * log2(actual / expected duration) of the newest runs. The moving average follows too
 * slowly when all runs begin to take longer, which is no worker's fault.
 */
export const NEWEST_LOG_SLOWDOWNS = createValueSlice<readonly number[]>(
  'newest-slowness',
  [],
);

/**
 * Compares the duration of a run with the expected one, and avoids a slow worker.
 */
export function recordDuration(
  update: Update,
  incarnation: string,
  ranMillis: number,
  expectedMillis: number,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || expectedMillis <= 0) {
    return;
  }
  const logRatio = Math.log2(Math.max(1, ranMillis) / expectedMillis);
  const fleetMean = update.write(FLEET_LOG_SLOWDOWN);
  fleetMean.set(
    fleetMean.get() + (logRatio - fleetMean.get()) * FLEET_SAMPLE_WEIGHT,
  );
  const previousMean =
    worker.slowdownSamples === 0 ? fleetMean.get() : worker.logSlowdown;
  const logSlowdown =
    previousMean + (logRatio - previousMean) * WORKER_SAMPLE_WEIGHT;
  const slowdownSamples = worker.slowdownSamples + 1;
  const normal = Math.max(fleetMean.get(), followNewest(update, logRatio));
  const minSamples = isOnProbation(worker, update.now)
    ? MIN_PROBATION_SAMPLES
    : MIN_SLOWDOWN_SAMPLES;
  const isSlow =
    slowdownSamples >= minSamples &&
    logSlowdown - normal > Math.log2(SLOW_FACTOR);
  const isSound = !isSlow && logRatio - normal <= Math.log2(SOUND_FACTOR);
  if (isSound && worker.probationUntil > 0) {
    changeWorker(update, incarnation, {probationUntil: 0});
  }
  if (isSlow) {
    changeWorker(update, incarnation, {logSlowdown: 0, slowdownSamples: 0});
    avoidWorker(update, incarnation, SLOW_AVOID_MILLIS, 'slow');
  } else {
    changeWorker(update, incarnation, {
      logSlowdown,
      slowdownSamples,
    });
  }
}

/** Adds a run to the newest ones, and returns their median. */
function followNewest(update: Update, logRatio: number): number {
  const slice = update.write(NEWEST_LOG_SLOWDOWNS);
  const newest = [...slice.get(), logRatio].slice(-NEWEST_RUNS);
  slice.set(newest);
  return [...newest].sort((a, b) => a - b)[Math.floor(newest.length / 2)];
}

/** Whether a worker was avoided, and has not shown yet that it is sound again. */
function isOnProbation(worker: Worker, now: number): boolean {
  return now >= worker.avoidedUntil && now < worker.probationUntil;
}

/** Counts the runs that may be placed on a worker beside those it has. */
export function countStartableRuns(
  state: StateReader,
  worker: Worker,
  now: number,
): number {
  if (!isOnProbation(worker, now)) {
    return Infinity;
  }
  const newRuns = state
    .read(RUNS)
    .withKey(worker.incarnation)
    .filter(run => (run.startedAt ?? now) >= worker.avoidedUntil);
  return Math.max(0, PROBATION_RUNS - newRuns.length);
}

/**
 * Places no new runs on a worker for the given time, and only a few for some time after
 * that.
 */
export function avoidWorker(
  update: Update,
  incarnation: string,
  millis: number,
  reason: string,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  const avoidedUntil = Math.max(worker?.avoidedUntil ?? 0, update.now + millis);
  const probationUntil = avoidedUntil + PROBATION_MILLIS;
  changeWorker(update, incarnation, {avoidedUntil, probationUntil});
  update.emit(FLEET_EVENT, {
    event: 'worker-avoided',
    worker: incarnation,
    detail: reason,
    millis,
  });
}
