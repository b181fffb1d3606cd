import {
  type StateReader,
  type Update,
  createValueSlice,
} from '@samphireramp/kernel';
import {HOLDING} from '@samphireramp/holding';
import {FLEET_EVENT} from './messages';
import {mayGrantLeases} from './leaseTiming';

/** Whether this holder granted leases when that was last checked. */
export const GRANTS_LEASES = createValueSlice('grants-leases', true);

/** Whether this holder may grant leases now, with a poll or a start order. */
export function isGrantingLeases(state: StateReader, now: number): boolean {
  return mayGrantLeases(state.read(HOLDING).get().confirmedAt, now);
}

/** Logs when this holder stops granting leases, and when it goes on. */
export function reportLeaseGranting(update: Update): void {
  const grantsLeases = update.write(GRANTS_LEASES);
  const isGranting = isGrantingLeases(update, update.now);
  if (grantsLeases.get() === isGranting) {
    return;
  }
  grantsLeases.set(isGranting);
  const {confirmedAt} = update.read(HOLDING).get();
  update.emit(FLEET_EVENT, {
    event: isGranting ? 'leases-granted' : 'leases-withheld',
    worker: '',
    detail: 'holding-confirmed',
    millis: Math.round(update.now - confirmedAt),
  });
}
