import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT, ROOM_CHANGED, RUN_VOID} from './messages';
import type {Run} from './Run';
import type {Worker} from './Worker';

/** Drops a run that surely is not there. */
export function voidRun(
  update: Update,
  run: Run,
  reason: PayloadOf<typeof RUN_VOID>['reason'],
): void {
  const {place, life, checkpoint} = run;
  update.write(RUNS).delete(runKey(place));
  update.dispatch(RUN_VOID, {place, life, checkpoint, reason});
  update.dispatchOnce(ROOM_CHANGED, '', undefined);
}

/** Takes a life of a worker for over: what ran there runs no more. */
export function loseWorker(
  update: Update,
  worker: Worker,
  detail: string,
): void {
  update.emit(FLEET_EVENT, {
    event: 'worker-gone',
    worker: worker.life,
    detail,
    millis: Math.round(update.now - worker.answeredAt),
  });
  for (const run of update.read(RUNS).withKey(worker.life)) {
    voidRun(update, run, 'worker-gone');
  }
  update.write(WORKERS).delete(worker.life);
  update.dispatchOnce(ROOM_CHANGED, '', undefined);
}

/**
 * Whether an order for a run may still be on its way. Orders name a worker, not
 * a life of it: one that comes late is carried out by the next life.
 */
export function mayStillStart(run: Run): boolean {
  // Only a listing tells which life took an order, and a second order may be
  // left; how many an earlier holder sent is not known.
  const isTaken = run.isListed && run.orders === 1;
  return run.phase !== 'reserved' && !isTaken;
}

/**
 * Another life answers for a worker, and its entry is not there yet. What may
 * still start waits for that entry, or until it surely has lapsed.
 */
export function awaitNextLife(update: Update, worker: Worker): void {
  const runs = update.read(RUNS).withKey(worker.life);
  if (!runs.some(mayStillStart)) {
    loseWorker(update, worker, 'reborn');
    return;
  }
  for (const run of runs) {
    if (!mayStillStart(run)) {
      voidRun(update, run, 'worker-gone');
    }
  }
  // No more holds: they would drop ends of the next life unseen.
  changeWorker(update, worker.life, {isSilent: true, isHoldOpen: true});
}
