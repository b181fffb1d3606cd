import type {Update} from '@samphireramp/kernel';
import {applyEntry} from './applyEntries';
import {HOLDER_KEY, HOLDING} from './HoldingState';
import {
  fenceContent,
  resendReserveBatch,
  sendReserveBatch,
} from './reserveAppends';
import {RESERVE, RESERVE_COPY, addOwedEntry} from './reserveState';

/**
 * Appends the fence of a host whose claim is durable, or sends it again: once it is
 * durable, no earlier holder can record anything any more.
 */
export function fenceReserve(update: Update): void {
  if (update.read(RESERVE).get().batchInFlight === undefined) {
    sendReserveBatch(update, fenceContent([]));
  } else {
    resendReserveBatch(update);
  }
}

/**
 * Applies what the earlier holder recorded in the reserve journal and its newest batch
 * in the journal lacks. If there is any, the earlier holder had proof of its holding
 * until the fence was appended.
 */
export function takeOverReserve(update: Update): void {
  const {durableEnd = Infinity} = update.read(RESERVE).get();
  const fence = update.read(RESERVE_COPY).get(HOLDER_KEY);
  const lacking = [...update.read(RESERVE_COPY).values()]
    .filter(({offset}) => offset >= durableEnd)
    .sort((a, b) => a.offset - b.offset);
  for (const {entry} of lacking) {
    applyEntry(update, entry);
    addOwedEntry(update, entry);
  }
  if ((fence?.offset ?? Infinity) > durableEnd) {
    const holding = update.write(HOLDING);
    const {predecessor} = holding.get();
    holding.set({
      ...holding.get(),
      predecessor: {...predecessor, heardAt: update.now},
    });
  }
}
