import {type Update, createValueSlice} from '@samphireramp/kernel';
import {WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT} from './messages';

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
    avoidedUntil: Math.max(worker.avoidedUntil, update.now + avoidMillis),
  });
  if (avoidMillis > 0) {
    update.emit(FLEET_EVENT, {
      event: 'worker-avoided',
      worker: incarnation,
      detail: `failures-in-row-${consecutiveFailures}`,
      millis: avoidMillis,
    });
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
/** How long a slow worker is avoided. */
const SLOW_AVOID_MILLIS = 3000;

/** Moving average of log2(actual / estimated duration) over all workers. */
export const FLEET_LOG_SLOWDOWN = createValueSlice('fleet-slowness', 0);

/**
 * Compares the duration of a run with its estimate, and avoids a slow worker.
 */
export function recordDuration(
  update: Update,
  incarnation: string,
  ranMillis: number,
  estimateMillis: number,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || estimateMillis <= 0) {
    return;
  }
  const logRatio = Math.log2(Math.max(1, ranMillis) / estimateMillis);
  const fleetMean = update.write(FLEET_LOG_SLOWDOWN);
  fleetMean.set(
    fleetMean.get() + (logRatio - fleetMean.get()) * FLEET_SAMPLE_WEIGHT,
  );
  const previousMean =
    worker.slowdownSamples === 0 ? fleetMean.get() : worker.logSlowdown;
  const logSlowdown =
    previousMean + (logRatio - previousMean) * WORKER_SAMPLE_WEIGHT;
  const slowdownSamples = worker.slowdownSamples + 1;
  const isSlow =
    slowdownSamples >= MIN_SLOWDOWN_SAMPLES &&
    logSlowdown - fleetMean.get() > Math.log2(SLOW_FACTOR);
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

/** Places no new runs on a worker for the given time. */
export function avoidWorker(
  update: Update,
  incarnation: string,
  millis: number,
  reason: string,
): void {
  changeWorker(update, incarnation, {avoidedUntil: update.now + millis});
  update.emit(FLEET_EVENT, {
    event: 'worker-avoided',
    worker: incarnation,
    detail: reason,
    millis,
  });
}
