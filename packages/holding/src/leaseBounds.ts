import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {
  FLUSH_JOURNAL,
  HOLDING,
  heldTerm,
  setPendingEntry,
} from './HoldingState';
import type {StoredEntry} from './messages';

/**
 * A statement of a holder: all leases of an incarnation of a worker, whoever
 * granted them, have ended this long after the beginning of its holding.
 */
export interface LeaseBound {
  readonly incarnation: string;
  /** Term of the holder that states this. */
  readonly term: number;
  readonly endsAtTermMillis: number;
}

/** Bounds in the copy of the journal, by incarnation. */
export const DURABLE_LEASE_BOUNDS =
  createTableSlice<LeaseBound>('lease-bounds');

/** Deletes the bounds that a snapshot of the journal doesn't have. */
export function deleteAbsentLeaseBounds(
  update: Update,
  entries: readonly StoredEntry[],
): void {
  const present = new Set(
    entries.map(({entry}) =>
      entry.kind === 'lease-bound' ? entry.bound.incarnation : undefined,
    ),
  );
  const bounds = update.write(DURABLE_LEASE_BOUNDS);
  for (const incarnation of [...bounds.keys()]) {
    if (!present.has(incarnation)) {
      bounds.delete(incarnation);
    }
  }
}

/**
 * Returns when the leases have ended on this holder's clock, by a bound that was in
 * the journal when its holding began; undefined if the bound no longer counts. A
 * holder vouches for the leases up to the end of its own holding only: each one
 * records anew the bounds that it takes over.
 */
export function inheritedLeasesEndAt(
  state: StateReader,
  {term, endsAtTermMillis}: LeaseBound,
): number | undefined {
  const {predecessor} = state.read(HOLDING).get();
  return term === predecessor.term
    ? predecessor.beganBefore + endsAtTermMillis
    : undefined;
}

/**
 * Records when the leases of an incarnation end. From now on this holder must not
 * grant it a lease, until the deletion of the bound is durable.
 */
export function recordLeaseBound(
  update: Update,
  incarnation: string,
  leasesEndAt: number,
): void {
  const term = heldTerm(update);
  if (term === undefined) {
    return;
  }
  const {holdingBeganAt} = update.read(HOLDING).get();
  const endsAtTermMillis = Math.ceil(leasesEndAt - holdingBeganAt);
  const bound = {incarnation, term, endsAtTermMillis};
  setPendingEntry(update, {kind: 'lease-bound', bound});
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}

/** Records that the bound of an incarnation is deleted. */
export function recordLiftedLeaseBound(
  update: Update,
  incarnation: string,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  setPendingEntry(update, {kind: 'lease-bound-lifted', incarnation});
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}
