import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT, RESOURCES_CHANGED, RUN_DISCARDED} from './messages';
import type {Run} from './Run';
import type {Worker} from './Worker';

/** Drops a run that surely is not there. */
export function discardRun(
  update: Update,
  run: Run,
  reason: PayloadOf<typeof RUN_DISCARDED>['reason'],
): void {
  const {runId: place, incarnation: life, checkpoint} = run;
  update.write(RUNS).delete(runKey(place));
  update.dispatch(RUN_DISCARDED, {
    runId: place,
    incarnation: life,
    checkpoint,
    reason,
  });
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

/** Takes a life of a worker for over: what ran there runs no more. */
export function removeWorker(
  update: Update,
  worker: Worker,
  detail: string,
): void {
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
 * Whether an order for a run may still be on its way. Orders name a worker, not
 * a life of it: one that comes late is carried out by the next life.
 */
export function mayStillStart(run: Run): boolean {
  // Only a listing tells which life took an order, and a second order may be
  // left; how many an earlier holder sent is not known.
  const isTaken = run.isReported && run.startOrders === 1;
  return run.phase !== 'reserved' && !isTaken;
}

/**
 * Another life answers for a worker, and its entry is not there yet. What may
 * still start waits for that entry, or until it surely has lapsed.
 */
export function awaitNextLife(update: Update, worker: Worker): void {
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
  // No more holds: they would drop ends of the next life unseen.
  changeWorker(update, worker.incarnation, {isSilent: true, isPollOpen: true});
}
