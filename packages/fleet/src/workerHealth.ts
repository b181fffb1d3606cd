import type {Update} from '@samphireramp/kernel';
import {WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT} from './messages';

/** Failures of different jobs in a row after which a worker is avoided. */
const FAILURES_TO_AVOID = 2;
/** How long a worker is avoided the first time; each failure more adds it. */
const AVOID_MILLIS = 2500;
const LONGEST_AVOID_MILLIS = 10_000;

/** Counts a run that failed for the first time, which may be its worker's fault. */
export function countFailure(
  update: Update,
  life: string,
  jobId: string,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || worker.lastFailedJob === jobId) {
    return;
  }
  const failuresInRow = worker.failuresInRow + 1;
  const times = failuresInRow - FAILURES_TO_AVOID + 1;
  const avoid = Math.min(
    LONGEST_AVOID_MILLIS,
    Math.max(0, times) * AVOID_MILLIS,
  );
  changeWorker(update, life, {
    failuresInRow,
    lastFailedJob: jobId,
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
export function countSuccess(update: Update, life: string): void {
  const worker = update.read(WORKERS).get(life);
  if (worker !== undefined && worker.failuresInRow > 0) {
    changeWorker(update, life, {failuresInRow: 0, lastFailedJob: ''});
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
