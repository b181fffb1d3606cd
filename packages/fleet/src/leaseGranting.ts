import {
  type StateReader,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {HOLDING} from '@samphireramp/holding';
import {RUNS, WORKERS, listOtherLives} from './FleetState';
import {FLEET_EVENT} from './messages';
import {
  LONGEST_LEASE_EXPIRY_MILLIS,
  MAX_CALL_DELAY_MILLIS,
  latestUnknownLeaseEnd,
  mayGrantLeases,
} from './leaseTiming';
import type {Worker} from './Worker';

/** The latest lease end that a life may have, and when a lease was last sent to it. */
type SentLease = Pick<Worker, 'leaseGrantedUntil' | 'leaseSentAt'>;

/** The latest of these of lives that are not known any more, by worker id. */
export const ENDED_LIVES_LEASES =
  createTableSlice<SentLease>('ended-lives-leases');

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

/** Returns the change of a worker to which a lease is sent now, by a poll or an order. */
export function grantLease(
  {leaseGrantedUntil}: Worker,
  leaseUntil: number,
  now: number,
): SentLease {
  return {
    leaseGrantedUntil: Math.max(leaseGrantedUntil, leaseUntil),
    leaseSentAt: now,
  };
}

/**
 * Deletes a life of a worker. The next one may still take calls that were meant for it,
 * so that the lease in them is kept in mind.
 */
export function deleteLife(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined) {
    return;
  }
  update.write(WORKERS).delete(incarnation);
  const leases = update.write(ENDED_LIVES_LEASES);
  const earlier = leases.get(worker.id);
  const counts = earlier !== undefined && mayCount(earlier, update.now);
  leases.set(worker.id, latestLease(worker, counts ? earlier : worker));
}

/** Whether a call that carried a lease may have granted one that goes on. */
function mayCount({leaseSentAt}: SentLease, now: number): boolean {
  const lastCallMillis = MAX_CALL_DELAY_MILLIS + LONGEST_LEASE_EXPIRY_MILLIS;
  return now - leaseSentAt <= lastCallMillis;
}

function latestLease(lease: SentLease, other: SentLease): SentLease {
  return {
    leaseGrantedUntil: Math.max(
      lease.leaseGrantedUntil,
      other.leaseGrantedUntil,
    ),
    leaseSentAt: Math.max(lease.leaseSentAt, other.leaseSentAt),
  };
}

/**
 * Returns the latest end of the leases that a life may have when it reports to this
 * holder for the first time, in milliseconds of its clock.
 */
export function leaseEndAtFirstReport(
  state: StateReader,
  worker: Worker,
  clockMillis: number,
  polledAt: number,
): number {
  const {predecessor} = state.read(HOLDING).get();
  return latestUnknownLeaseEnd(clockMillis, polledAt, {
    earlierLivesUntil: earlierLivesLeaseEnd(state, worker, polledAt),
    predecessorHeardAt: predecessor.heardAt,
    // At its first report, a life has no runs but those that the journal names.
    wasHeldBefore: state.read(RUNS).withKey(worker.incarnation).length > 0,
  });
}

/**
 * Returns the latest end of the leases that the life may have which answered an order
 * to `worker`, or a later life of it, but for those that were sent to `worker`; in
 * milliseconds of the clock in the answer.
 */
export function leaseEndAtStart(
  state: StateReader,
  worker: Worker,
  clockMillis: number,
  orderedAt: number,
): number {
  const {predecessor} = state.read(HOLDING).get();
  return latestUnknownLeaseEnd(clockMillis, orderedAt, {
    earlierLivesUntil: earlierLivesLeaseEnd(state, worker, orderedAt),
    predecessorHeardAt: predecessor.heardAt,
    wasHeldBefore: false,
  });
}

/** Returns the latest lease end that a life may have taken from calls to earlier ones. */
function earlierLivesLeaseEnd(
  state: StateReader,
  worker: Worker,
  now: number,
): number {
  const ended = state.read(ENDED_LIVES_LEASES).get(worker.id);
  const leases = [...listOtherLives(state, worker), ...(ended ? [ended] : [])];
  const recent = leases.filter(lease => mayCount(lease, now));
  return Math.max(
    -Infinity,
    ...recent.map(({leaseGrantedUntil}) => leaseGrantedUntil),
  );
}
