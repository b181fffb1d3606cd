import {type Update, createValueSlice} from '@samphireramp/kernel';
import {WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT} from './messages';

/** Failures of different jobs in a row after which a worker is avoided. */
const FAILURES_TO_AVOID = 2;
/** How long a worker is avoided the first time; each failure more adds it. */
const AVOID_MILLIS = 2500;
const LONGEST_AVOID_MILLIS = 10_000;

/** Counts a run that failed for the first time, which may be its worker's fault. */
export function recordFailure(
  update: Update,
  life: string,
  jobId: string,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || worker.lastFailedJobId === jobId) {
    return;
  }
  const failuresInRow = worker.consecutiveFailures + 1;
  const times = failuresInRow - FAILURES_TO_AVOID + 1;
  const avoid = Math.min(
    LONGEST_AVOID_MILLIS,
    Math.max(0, times) * AVOID_MILLIS,
  );
  changeWorker(update, life, {
    consecutiveFailures: failuresInRow,
    lastFailedJobId: jobId,
    avoidedUntil: Math.max(worker.avoidedUntil, update.now + avoid),
  });
  if (avoid > 0) {
    update.emit(FLEET_EVENT, {
      event: 'worker-avoided',
      worker: life,
      detail: `failures-in-row-${failuresInRow}`,
      millis: avoid,
    });
  }
}

/** Counts a run that was done: the worker works. */
export function recordSuccess(update: Update, life: string): void {
  const worker = update.read(WORKERS).get(life);
  if (worker !== undefined && worker.consecutiveFailures > 0) {
    changeWorker(update, life, {consecutiveFailures: 0, lastFailedJobId: ''});
  }
}

/** Weight of a new run in a running mean of one worker, and of all. */
const WORKER_WEIGHT = 0.35;
const FLEET_WEIGHT = 0.02;
/** A worker is slow from this many times the fleet's mean on ... */
const SLOW_TIMES = 3.5;
/** ... if so many runs say so. */
const RUNS_TO_BE_SLOW = 4;
const SLOW_AVOID_MILLIS = 3000;

/** How much longer than estimated tasks take on all workers, as logarithm. */
export const FLEET_SLOWNESS = createValueSlice('fleet-slowness', 0);

/** Counts how long a run took, against its estimate. */
export function recordDuration(
  update: Update,
  life: string,
  ranMillis: number,
  estimateMillis: number,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || estimateMillis <= 0) {
    return;
  }
  const ratio = Math.log2(Math.max(1, ranMillis) / estimateMillis);
  const fleet = update.write(FLEET_SLOWNESS);
  fleet.set(fleet.get() + (ratio - fleet.get()) * FLEET_WEIGHT);
  const before =
    worker.slowdownSamples === 0 ? fleet.get() : worker.logSlowdown;
  const slowness = before + (ratio - before) * WORKER_WEIGHT;
  const slownessRuns = worker.slowdownSamples + 1;
  const isSlow =
    slownessRuns >= RUNS_TO_BE_SLOW &&
    slowness - fleet.get() > Math.log2(SLOW_TIMES);
  if (isSlow) {
    changeWorker(update, life, {logSlowdown: 0, slowdownSamples: 0});
    avoidWorker(update, life, SLOW_AVOID_MILLIS, 'slow');
  } else {
    changeWorker(update, life, {
      logSlowdown: slowness,
      slowdownSamples: slownessRuns,
    });
  }
}

/** Keeps new work away from a worker for a time. */
export function avoidWorker(
  update: Update,
  life: string,
  millis: number,
  reason: string,
): void {
  changeWorker(update, life, {avoidedUntil: update.now + millis});
  update.emit(FLEET_EVENT, {
    event: 'worker-avoided',
    worker: life,
    detail: reason,
    millis,
  });
}
