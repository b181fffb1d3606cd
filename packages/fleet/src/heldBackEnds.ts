import {
  type PayloadOf,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {ENDS_APPLIED} from './messages';
import {onEndsApplied} from './workerPolling';

/**
 * Incarnations whose ends are not acknowledged for now, as the effect of one of them is
 * not known yet; each with the number up to which its ends were reported.
 */
export const HELD_BACK_ENDS = createTableSlice<number>('held-back-ends');

/**
 * Leaves the ends that a worker reports from now on without acknowledgement, so that it
 * reports them to the next holder, too. Called while its report is applied.
 */
export function holdBackEnds(update: Update, incarnation: string): void {
  const heldBack = update.write(HELD_BACK_ENDS);
  if (!heldBack.has(incarnation)) {
    heldBack.set(incarnation, 0);
  }
}

/** Acknowledges the ends that were held back, once their effects are durable. */
export function releaseEnds(update: Update, incarnation: string): void {
  const upTo = update.read(HELD_BACK_ENDS).get(incarnation);
  if (upTo !== undefined) {
    update.write(HELD_BACK_ENDS).delete(incarnation);
    update.dispatch(ENDS_APPLIED, {incarnation, upTo});
  }
}

/** Has reported ends acknowledged, unless those of their worker are held back. */
export function acknowledgeUnlessHeldBack(
  update: Update,
  payload: PayloadOf<typeof ENDS_APPLIED>,
): void {
  const {incarnation, upTo} = payload;
  const heldBackUpTo = update.read(HELD_BACK_ENDS).get(incarnation);
  if (heldBackUpTo === undefined) {
    onEndsApplied(update, payload);
  } else {
    const newest = Math.max(heldBackUpTo, upTo);
    update.write(HELD_BACK_ENDS).set(incarnation, newest);
  }
}
