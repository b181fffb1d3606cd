import type {PayloadOf, Update} from '@samphireramp/kernel';
import type {HoldingOptions} from './claimRules';
import {beginHolding, endHolding} from './holdingPhases';
import {FLUSH_JOURNAL, HOLDING} from './HoldingState';
import type {RESERVE_APPEND_ENDED, ReserveRead} from './messages';
import {applyReserveRead, onReserveAppended} from './reserveAppends';
import {fenceReserve, takeOverReserve} from './reserveFence';
import {
  type ReserveBatch,
  changeReserve,
  isOwnReserveRecord,
  ownTerm,
} from './reserveState';
import {
  commitReserveBatch,
  flushReserve,
  maintainReserve,
  shrinkReserveBatches,
} from './reserveUse';

/** Creates the handlers of what the log says of the reserve journal. */
export function createReserveHandlers({self, incarnation}: HoldingOptions) {
  function onDurable(update: Update, batch: ReserveBatch): void {
    if (update.read(HOLDING).get().phase === 'fencing') {
      takeOverReserve(update);
      beginHolding(update, self);
    } else {
      commitReserveBatch(update, batch);
      update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
    }
  }

  /** Whether a read has a record that another host wrote after this one. */
  function isFencedBy(update: Update, read: ReserveRead): boolean {
    const term = ownTerm(update.read(HOLDING).get()) ?? Infinity;
    return read.entries.some(
      stored =>
        stored.entry.kind === 'holder' &&
        !isOwnReserveRecord(update, incarnation, stored) &&
        stored.entry.record.term > term,
    );
  }

  return {
    onRead(update: Update, read: ReserveRead): void {
      const {phase} = update.read(HOLDING).get();
      if (phase === 'following') {
        return;
      }
      if (isFencedBy(update, read)) {
        endHolding(update, 'other-claim');
        return;
      }
      const batch = applyReserveRead(update, incarnation, read);
      if (batch !== undefined) {
        onDurable(update, batch);
      } else if (phase === 'fencing') {
        fenceReserve(update);
      }
    },

    onReadFailed(update: Update): void {
      changeReserve(update, {isReadable: false});
    },

    onAppended(
      update: Update,
      {batch: number, outcome}: PayloadOf<typeof RESERVE_APPEND_ENDED>,
    ): void {
      const batch = onReserveAppended(update, number, outcome, tooLarge =>
        shrinkReserveBatches(update, tooLarge),
      );
      if (batch !== undefined) {
        onDurable(update, batch);
      }
    },

    onTick(update: Update): void {
      const {phase} = update.read(HOLDING).get();
      if (phase === 'fencing') {
        fenceReserve(update);
      } else if (phase === 'holding') {
        flushReserve(update);
        maintainReserve(update);
      }
    },
  };
}
