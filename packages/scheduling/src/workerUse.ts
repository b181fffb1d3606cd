import type {Update} from '@samphireramp/kernel';
import {WORKER_LINKS, isCommandable} from '@samphireramp/ownership';
import {CAPACITY} from '@samphireramp/placement';
import {isTakenOut} from './workerHealth';

/** Lets a worker be chosen, or not, as things are now. */
export function refreshUsable(update: Update, worker: string): void {
  const capacity = update.write(CAPACITY);
  const row = capacity.rowOf(worker);
  const link = update.read(WORKER_LINKS).get(worker);
  if (row === undefined || link === undefined) {
    return;
  }
  const usable =
    isCommandable(update, link, update.now) &&
    !link.leaving &&
    !isTakenOut(update, worker);
  if ((capacity.usable[row] === 1) !== usable) {
    capacity.setUsable(worker, usable);
  }
}
