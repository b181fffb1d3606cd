import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT, RESOURCES_CHANGED, RUN_DISCARDED} from './messages';
import type {Run} from './Run';
import {forbidUnansweredOrders} from './unansweredOrders';
import type {Worker} from './Worker';
import {reportCrash} from './workerCrashes';

/** Reasons of a removal that show that the process of the worker has ended. */
const CRASH_DETAILS: ReadonlySet<string> = new Set([
  'reborn',
  'other-life',
  'closed',
]);

/** Drops a run that can't be running, without a reported end. */
export function discardRun(
  update: Update,
  run: Run,
  reason: PayloadOf<typeof RUN_DISCARDED>['reason'],
): void {
  const {runId, incarnation, checkpoint} = run;
  update.write(RUNS).delete(runKey(runId));
  update.dispatch(RUN_DISCARDED, {
    runId,
    incarnation,
    checkpoint,
    reason,
  });
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

/** Removes an incarnation of a worker, and discards the runs that it had. */
export function removeWorker(
  update: Update,
  worker: Worker,
  detail: string,
): void {
  if (CRASH_DETAILS.has(detail)) {
    reportCrash(update, worker.incarnation, detail);
  }
  update.emit(FLEET_EVENT, {
    event: 'worker-gone',
    worker: worker.incarnation,
    detail,
    millis: Math.round(update.now - worker.answeredAt),
  });
  for (const run of update.read(RUNS).withKey(worker.incarnation)) {
    discardRun(update, run, 'worker-gone');
  }
  update.write(WORKERS).delete(worker.incarnation);
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

/**
 * Whether a start order for the run may still be in transit. Orders name a
 * worker, not an incarnation: the next incarnation carries out an order that
 * arrives late.
 */
export function mayStillStart(run: Run): boolean {
  // Only a report shows which incarnation took an order. If a second order was
  // sent, it may still be in transit; for an adopted run the number is unknown.
  const isOnlyOrderTaken = run.isReported && run.startOrders === 1;
  return run.phase !== 'reserved' && !isOnlyOrderTaken;
}

/**
 * Handles an answer from a later incarnation that is not in the worker registry
 * yet. It is told to refuse the orders that may still arrive. Runs that may still start are kept until it is registered, or until
 * their lease is sure to have expired; the others are discarded.
 */
export function awaitNextIncarnation(
  update: Update,
  worker: Worker,
  incarnation: string,
): void {
  reportCrash(update, worker.incarnation, 'reborn');
  forbidUnansweredOrders(update, {...worker, incarnation});
  const runs = update.read(RUNS).withKey(worker.incarnation);
  if (!runs.some(mayStillStart)) {
    removeWorker(update, worker, 'reborn');
    return;
  }
  for (const run of runs) {
    if (!mayStillStart(run)) {
      discardRun(update, run, 'worker-gone');
    }
  }
  // An open poll holds back further polls, whose acknowledgements would make
  // the next incarnation drop ends that nobody has read.
  changeWorker(update, worker.incarnation, {isSilent: true, isPollOpen: true});
}
