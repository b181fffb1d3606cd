import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {
  RUNS,
  WORKERS,
  changeRun,
  changeWorker,
  listOtherLives,
} from './FleetState';
import {beginLife} from './fence';
import {leasesEndAt} from './leaseBounds';
import {deleteLife} from './leaseGranting';
import {nextLifeLeasesExpiredAt} from './leaseTiming';
import {
  FLEET_EVENT,
  RESOURCES_CHANGED,
  RUN_DISCARDED,
  START_GIVEN_UP,
} from './messages';
import type {Run} from './Run';
import {mayNextIncarnationStart} from './unsettledOrders';
import type {Worker} from './Worker';
import {noteCrash, reportCrash} from './workerCrashes';

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
  by?: string,
): void {
  if (CRASH_DETAILS.has(detail)) {
    noteCrash(update, worker.incarnation, detail);
  }
  const {incarnation, isGone, answeredAt} = worker;
  if (!isGone) {
    update.emit(FLEET_EVENT, {
      event: 'worker-gone',
      worker: incarnation,
      detail,
      by,
      runs: update.read(RUNS).withKey(incarnation).length,
      millis: Math.round(update.now - answeredAt),
    });
  }
  const runs = update.read(RUNS).withKey(incarnation);
  const awaitedRuns = runs.filter(run => mayNextLifeStart(update, run, by));
  if (awaitedRuns.length === 0) {
    reportCrash(update, incarnation);
  }
  for (const run of runs) {
    if (awaitedRuns.includes(run)) {
      awaitSettledOrders(update, run);
    } else {
      discardRun(update, run, 'worker-gone');
    }
  }
  if (awaitedRuns.length > 0) {
    const change = {isGone: true, isRegistered: false, isSilent: true};
    changeWorker(update, incarnation, {...change, endedBy: by});
  } else {
    deleteLife(update, incarnation);
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
  const endAt = leasesEndAt(update, incarnation, worker);
  if (worker.isGone) {
    if (!awaitsReportOfNextLife(update, worker, endAt)) {
      removeWorker(update, worker, 'settled');
    }
    return;
  }
  if (update.now < endAt) {
    return;
  }
  if (worker.refusesConnections) {
    noteCrash(update, incarnation, 'closed');
    reportCrash(update, incarnation);
  }
  const lapsedRuns = update
    .read(RUNS)
    .withKey(incarnation)
    .filter(({runId}) => !mayNextIncarnationStart(update, runId, update.now));
  if (lapsedRuns.length > 0) {
    emitLapsed(update, worker, lapsedRuns.length);
    // The poll that it answers next refuses the orders that may still arrive.
    changeWorker(update, incarnation, {life: beginLife(update, worker.id)});
  }
  for (const run of lapsedRuns) {
    discardRun(update, run, 'lapsed-silent');
  }
  if (!worker.isRegistered) {
    removeWorker(update, worker, 'silent-and-unlisted');
  }
}

/** Logs by what the leases of a silent worker are taken for expired. */
function emitLapsed(
  update: Update,
  {incarnation, answeredAt, leaseGrantedUntil, clock}: Worker,
  runs: number,
): void {
  update.emit(FLEET_EVENT, {
    event: 'worker-lapsed',
    worker: incarnation,
    runs,
    leaseUntil: leaseGrantedUntil,
    workerClock: clock?.clockMillis,
    millis: Math.round(update.now - answeredAt),
  });
}

/**
 * Whether the runs of a life that has ended wait for the first report of the next
 * one, which fences the orders for them. If none comes, it was lost, too: they wait
 * until the leases that it got with such an order must have expired.
 */
function awaitsReportOfNextLife(
  update: Update,
  worker: Worker,
  leasesEndAt: number,
): boolean {
  if (worker.endedBy === undefined) {
    return false;
  }
  const isNextHeardSoon = listOtherLives(update, worker).some(
    ({hasReported, isSilent}) => !hasReported && !isSilent,
  );
  return isNextHeardSoon || update.now < nextLifeLeasesExpiredAt(leasesEndAt);
}

/**
 * Whether the next life of a worker may start a run, or may have started it. If
 * that life is known (`by`), an order whose answer didn't come from this one counts.
 */
function mayNextLifeStart(
  update: Update,
  run: Run,
  by: string | undefined,
): boolean {
  return by === undefined
    ? mayNextIncarnationStart(update, run.runId, update.now)
    : mayStillStart(run);
}

/**
 * Whether a start order for the run may still be in transit. Orders name a
 * worker, not an incarnation: the next incarnation carries out an order that
 * arrives late.
 */
function mayStillStart(run: Run): boolean {
  // Only a report shows which incarnation took an order. If a second order was
  // sent, it may still be in transit; for an adopted run the number is unknown.
  const isOnlyOrderTaken = run.isReported && run.startOrders === 1;
  return run.phase !== 'reserved' && !isOnlyOrderTaken;
}
