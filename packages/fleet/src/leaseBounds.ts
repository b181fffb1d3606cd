import {
  type StateReader,
  type Update,
  createCommand,
  createTableSlice,
} from '@samphireramp/kernel';
import {
  DURABLE_LEASE_BOUNDS,
  HOLDING,
  dispatchWhenDurable,
  inheritedLeasesEndAt,
  recordLeaseBound,
  recordLiftedLeaseBound,
} from '@samphireramp/holding';
import {RUNS} from './FleetState';
import {leasesExpiredAt} from './leaseTiming';
import {FLEET_EVENT} from './messages';
import {takenRunEndsAt} from './unsettledOrders';
import type {Worker} from './Worker';

/**
 * A bound on the leases of an incarnation that is, or is about to be, in the
 * journal. While there is one, this holder grants the incarnation no lease.
 */
export interface BoundedLeases {
  /** When all its leases have ended, on this host's clock. */
  readonly leasesEndAt: number;
  /** Whether its deletion is being recorded. */
  readonly isLifting: boolean;
}

/** The bounds that this holder has recorded or taken over, by incarnation. */
export const BOUNDED_LEASES = createTableSlice<BoundedLeases>('bounded-leases');

/** The deletion of a bound is durable. */
export const LEASE_BOUND_LIFTED = createCommand<{readonly incarnation: string}>(
  'lease-bound-lifted',
);

/** Whether an incarnation must not be granted a lease. */
export function isLeaseBounded(
  state: StateReader,
  incarnation: string,
): boolean {
  return state.read(BOUNDED_LEASES).has(incarnation);
}

/**
 * Returns when, on this host's clock, all leases of an incarnation are sure to
 * have expired. `worker` is undefined if it is not in the worker registry.
 */
export function leasesEndAt(
  state: StateReader,
  incarnation: string,
  worker: Worker | undefined,
): number {
  const {predecessor} = state.read(HOLDING).get();
  const bound = state.read(BOUNDED_LEASES).get(incarnation);
  return Math.min(
    bound?.leasesEndAt ?? Infinity,
    leasesExpiredAt(worker, predecessor.heardAt),
  );
}

/**
 * Records when the leases of an incarnation that doesn't answer have ended, so
 * that the next holder need not wait for them anew.
 */
export function boundLeases(
  update: Update,
  incarnation: string,
  worker: Worker | undefined,
): void {
  // Answered orders may have given the next life of the worker leases of its own.
  const runs = update.read(RUNS).withKey(incarnation);
  const endAt = Math.max(
    leasesEndAt(update, incarnation, worker),
    ...runs.map(({runId}) => takenRunEndsAt(update, runId)),
  );
  update.emit(FLEET_EVENT, {
    event: 'leases-bounded',
    worker: incarnation,
    detail: worker === undefined ? 'unlisted' : 'silent',
    millis: Math.round(endAt - update.now),
  });
  record(update, incarnation, endAt);
}

function record(update: Update, incarnation: string, endAt: number): void {
  const bound = {leasesEndAt: endAt, isLifting: false};
  update.write(BOUNDED_LEASES).set(incarnation, bound);
  recordLeaseBound(update, incarnation, endAt);
}

/**
 * Deletes the bound of an incarnation, if any. It may be granted leases again once
 * the deletion is durable: the next holder might take them for expired before.
 */
export function liftBound(
  update: Update,
  incarnation: string,
  reason: 'answered' | 'no-runs',
): void {
  const bounds = update.write(BOUNDED_LEASES);
  const bound = bounds.get(incarnation);
  if (bound === undefined || bound.isLifting) {
    return;
  }
  bounds.set(incarnation, {...bound, isLifting: true});
  update.emit(FLEET_EVENT, {
    event: 'lease-bound-lifted',
    worker: incarnation,
    detail: reason,
    millis: Math.round(bound.leasesEndAt - update.now),
  });
  recordLiftedLeaseBound(update, incarnation);
  dispatchWhenDurable(update, LEASE_BOUND_LIFTED, {incarnation});
}

/**
 * Takes over the bounds of the preceding holder, and deletes those that no holder
 * vouches for any more.
 */
export function takeOverBounds(update: Update): void {
  const bounds = update.write(BOUNDED_LEASES);
  bounds.clear();
  for (const [incarnation, bound] of [
    ...update.read(DURABLE_LEASE_BOUNDS).entries(),
  ]) {
    const endAt = inheritedLeasesEndAt(update, bound);
    if (endAt === undefined || endAt === Infinity) {
      recordLiftedLeaseBound(update, incarnation);
    } else {
      record(update, incarnation, endAt);
    }
  }
}
