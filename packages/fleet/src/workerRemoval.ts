import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeRun, changeWorker} from './FleetState';
import {leasesEndAt} from './leaseBounds';
import {
  FLEET_EVENT,
  RESOURCES_CHANGED,
  RUN_DISCARDED,
  START_GIVEN_UP,
} from './messages';
import type {Run} from './Run';
import {
  forbidUnansweredOrders,
  mayNextIncarnationStart,
} from './unansweredOrders';
import type {Worker} from './Worker';
import {reportCrash} from './workerCrashes';

/** Reasons of a removal that show that the process of the worker has ended. */
const CRASH_DETAILS: ReadonlySet<string> = new Set(['reborn', 'other-life']);

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

/**
 * Removes an incarnation of a worker, and discards the runs that it had. It is
 * kept, without being polled, while its next incarnation may still start some of
 * them: their tasks would run twice if they were placed elsewhere.
 */
export function removeWorker(
  update: Update,
  worker: Worker,
  detail: string,
): void {
  if (CRASH_DETAILS.has(detail)) {
    reportCrash(update, worker.incarnation, detail);
  }
  const {incarnation, isGone, answeredAt} = worker;
  if (!isGone) {
    update.emit(FLEET_EVENT, {
      event: 'worker-gone',
      worker: incarnation,
      detail,
      millis: Math.round(update.now - answeredAt),
    });
  }
  for (const run of update.read(RUNS).withKey(incarnation)) {
    if (mayNextIncarnationStart(update, run.runId)) {
      awaitSettledOrders(update, run);
    } else {
      discardRun(update, run, 'worker-gone');
    }
  }
  if (update.read(RUNS).withKey(incarnation).length > 0) {
    const change = {isGone: true, isRegistered: false, isSilent: true};
    changeWorker(update, incarnation, change);
  } else {
    update.write(WORKERS).delete(incarnation);
  }
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

/**
 * Marks a run of a gone worker as being stopped, so that stop orders are sent to
 * whatever incarnation answers, until its start orders are settled.
 */
function awaitSettledOrders(
  update: Update,
  {runId, incarnation, phase, lastOrderAt, startOrders}: Run,
): void {
  if (phase === 'stopping') {
    return;
  }
  const reason = 'worker-gone';
  update.emit(FLEET_EVENT, {
    event: 'run-stopping',
    worker: incarnation,
    subject: runKey(runId),
    detail: reason,
    millis: Math.round(update.now - lastOrderAt),
    orders: startOrders,
  });
  changeRun(update, runKey(runId), {phase: 'stopping', lastOrderAt: -Infinity});
  update.dispatch(START_GIVEN_UP, {runId, incarnation, reason});
}

/**
 * Discards the runs of a silent worker once its leases are sure to have expired,
 * and those of a gone one once no order can start them any more. Removes the
 * worker if it is no longer registered.
 */
export function discardLostRuns(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || !worker.isSilent) {
    return;
  }
  if (worker.isGone) {
    removeWorker(update, worker, 'settled');
    return;
  }
  if (update.now < leasesEndAt(update, incarnation, worker)) {
    return;
  }
  if (worker.refusesConnections) {
    reportCrash(update, incarnation, 'closed');
  }
  for (const run of update.read(RUNS).withKey(incarnation)) {
    if (!mayNextIncarnationStart(update, run.runId)) {
      discardRun(update, run, 'lapsed-silent');
    }
  }
  if (!worker.isRegistered) {
    removeWorker(update, worker, 'silent-and-unlisted');
  }
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
 * yet. It is told to refuse the orders that may still arrive. Runs that may still
 * start are kept until it is registered, or until no order can start them any
 * more; the others are discarded.
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
