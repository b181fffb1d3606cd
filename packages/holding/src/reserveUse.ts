import type {Update} from '@samphireramp/kernel';
import {applyEntry} from './applyEntries';
import {
  DEFERRED_COMMANDS,
  HOLDING,
  type JournalBatch,
  PENDING_ENTRIES,
  pendingKeyOf,
} from './HoldingState';
import {emitBatchEvent, isJournalLate} from './lateBatch';
import {
  type JournalEntry,
  PROGRESS_DURABLE,
  type ReserveEntry,
} from './messages';
import {
  fenceContent,
  resendReserveBatch,
  sendReserveBatch,
} from './reserveAppends';
import {
  RESERVE,
  RESERVE_COPY,
  type ReserveBatch,
  addOwedEntry,
  changeReserve,
  isReserveStated,
} from './reserveState';

/** Interval at which an idle holder proves with an append that it still holds. */
const RESERVE_HEARTBEAT_MILLIS = 300;
/** Most entries that one fence withdraws. */
const MAX_WITHDRAWN_ENTRIES = 500;

/**
 * Records in the reserve journal what waits for the journal, if that takes no append
 * and the next holder is sure to read the reserve.
 */
export function flushReserve(update: Update): void {
  const {batchInFlight: journalBatch} = update.read(HOLDING).get();
  const reserve = update.read(RESERVE).get();
  if (reserve.batchInFlight !== undefined) {
    resendReserveBatch(update);
    return;
  }
  if (
    journalBatch === undefined ||
    !isJournalLate(update, update.now) ||
    reserve.endOffset === undefined ||
    reserve.isUnfenced ||
    !isReserveStated(update)
  ) {
    return;
  }
  if (journalBatch.isApplied) {
    sendPending(update);
  } else {
    sendReserveBatch(update, {
      purpose: 'journal-batch',
      entries: withoutHolder(journalBatch.entries),
      deferredCommands: [],
      jobsUntil: journalBatch.jobsUntil,
    });
    emitBatchEvent(
      update,
      'reserve-used',
      journalBatch,
      describeEntries(journalBatch),
    );
  }
}

/** Sends what was recorded since the batch that the journal does not take. */
function sendPending(update: Update): void {
  const {maxBatchEntries, lastAppendAt} = update.read(RESERVE).get();
  const pending = update.write(PENDING_ENTRIES);
  const isIdle =
    pending.size === 0 && update.read(DEFERRED_COMMANDS).size === 0;
  if (isIdle && update.now - lastAppendAt < RESERVE_HEARTBEAT_MILLIS) {
    return;
  }
  const isPartial = pending.size > maxBatchEntries;
  const entries = [...pending.entries()].slice(0, maxBatchEntries);
  entries.forEach(([key]) => pending.delete(key));
  sendReserveBatch(update, {
    purpose: 'pending',
    entries: entries.map(([, entry]) => entry),
    deferredCommands: isPartial
      ? []
      : update.write(DEFERRED_COMMANDS).takeAll(),
    jobsUntil: isPartial
      ? -Infinity
      : update.read(HOLDING).get().requestsReadUntil,
  });
}

/** Applies a batch that is durable in the reserve journal, and owes it to the journal. */
export function commitReserveBatch(update: Update, batch: ReserveBatch): void {
  if (batch.purpose === 'fence') {
    return;
  }
  const holding = update.write(HOLDING);
  const entries = journalEntriesOf(batch.entries);
  for (const entry of entries) {
    applyEntry(update, entry);
    addOwedEntry(update, entry);
  }
  const {batchInFlight: journalBatch, ...rest} = holding.get();
  const commands = [
    ...(batch.purpose === 'journal-batch'
      ? (journalBatch?.deferredCommands ?? [])
      : []),
    ...batch.deferredCommands,
  ];
  holding.set({
    ...rest,
    batchInFlight:
      batch.purpose === 'journal-batch' && journalBatch !== undefined
        ? {...journalBatch, isApplied: true, deferredCommands: []}
        : journalBatch,
    confirmedAt: Math.max(rest.confirmedAt, batch.sentAt ?? -Infinity),
    jobsCompleteUntil: Math.max(rest.jobsCompleteUntil, batch.jobsUntil),
  });
  update.dispatch(PROGRESS_DURABLE, {entries});
  commands.forEach(({command, payload}) => update.dispatch(command, payload));
}

/**
 * Takes back a batch that isn't known to be durable, as the journal takes appends
 * again: what it has goes into the journal. It may still become durable, so that the
 * reserve journal isn't used before its end has moved.
 */
export function takeBackReserveBatch(update: Update): void {
  const {batchInFlight: batch} = update.read(RESERVE).get();
  if (batch === undefined || batch.purpose === 'fence') {
    return;
  }
  changeReserve(update, {batchInFlight: undefined, isUnfenced: true});
  if (batch.purpose === 'pending') {
    restorePending(update, batch);
  }
}

/** Takes back a batch that the log finds too large; the next ones have fewer entries. */
export function shrinkReserveBatches(
  update: Update,
  batch: ReserveBatch,
): void {
  const entries = Math.max(1, Math.floor((batch.entries.length - 1) / 2));
  changeReserve(update, {batchInFlight: undefined, maxBatchEntries: entries});
  if (batch.purpose === 'pending') {
    restorePending(update, batch);
  }
}

/** Puts what a batch has before what was recorded later. */
function restorePending(update: Update, batch: ReserveBatch): void {
  const pending = update.write(PENDING_ENTRIES);
  const later = new Map(pending.entries());
  pending.clear();
  for (const entry of journalEntriesOf(batch.entries)) {
    pending.set(pendingKeyOf(entry), entry);
  }
  later.forEach((entry, key) => pending.set(key, entry));
  const commands = update.write(DEFERRED_COMMANDS);
  const laterCommands = commands.takeAll();
  [...batch.deferredCommands, ...laterCommands].forEach(each =>
    commands.append(each),
  );
}

/**
 * Moves the end of the reserve journal if an earlier append might still take effect
 * there, and withdraws the entries that the journal has.
 */
export function maintainReserve(update: Update): void {
  const {batchInFlight, isReadable, isUnfenced, durableEnd} = update
    .read(RESERVE)
    .get();
  if (
    batchInFlight !== undefined ||
    !isReadable ||
    isJournalLate(update, update.now)
  ) {
    return;
  }
  const needless: ReserveEntry[] = [];
  for (const {offset, entry} of update.read(RESERVE_COPY).values()) {
    const isNeedless = durableEnd === undefined || offset < durableEnd;
    if (
      isNeedless &&
      entry.kind !== 'holder' &&
      needless.length < MAX_WITHDRAWN_ENTRIES
    ) {
      needless.push({kind: 'withdrawn', entry});
    }
  }
  if (isUnfenced || needless.length > 0) {
    sendReserveBatch(update, fenceContent(needless));
  }
}

/** Logs that the journal has all again that only the reserve journal had. */
export function reportSettled(update: Update, batch: JournalBatch): void {
  emitBatchEvent(update, 'reserve-settled', batch, describeEntries(batch));
}

function describeEntries({entries}: JournalBatch): string {
  return `${withoutHolder(entries).length} entries`;
}

function journalEntriesOf(entries: readonly ReserveEntry[]): JournalEntry[] {
  return entries.filter(
    (entry): entry is JournalEntry =>
      entry.kind !== 'withdrawn' && entry.kind !== 'holder',
  );
}

function withoutHolder(entries: readonly JournalEntry[]): JournalEntry[] {
  return entries.filter(({kind}) => kind !== 'holder');
}
