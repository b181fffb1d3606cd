import type {Update} from '@samphireramp/kernel';
import {
  DEFERRED_COMMANDS,
  type DeferredCommand,
  FLUSH_JOURNAL,
  HOLDING,
  type JournalBatch,
  PENDING_ENTRIES,
  heldTerm,
  pendingKeyOf,
} from './HoldingState';
import {HOLDING_EVENT, type JournalEntry, PROGRESS_TOO_LARGE} from './messages';
import {OWED_ENTRIES} from './reserveState';

/**
 * Takes back a batch that is larger than the log takes, and appends half of it,
 * until the entry that is too large is alone. That one is dropped.
 */
export function splitBatch(
  update: Update,
  self: string,
  batch: JournalBatch,
  detail: string,
): void {
  const holding = update.write(HOLDING);
  const entries = batch.entries.filter(entry => entry.kind !== 'holder');
  if (batch.isOwed) {
    entries.forEach(entry => restoreOwedEntry(update, entry));
  } else if (!batch.isApplied) {
    restoreBatch(update, entries, batch.deferredCommands);
  }
  holding.set({
    ...holding.get(),
    batchInFlight: undefined,
    nextBatchNumber: batch.number,
    maxBatchEntries: Math.max(1, Math.floor(entries.length / 2)),
  });
  const [only, ...others] = entries;
  if (only !== undefined && others.length === 0) {
    const key = pendingKeyOf(only);
    update.write(PENDING_ENTRIES).delete(key);
    update.write(OWED_ENTRIES).delete(key);
    update.emit(HOLDING_EVENT, {
      event: 'record-too-large',
      term: heldTerm(update) ?? 0,
      holder: self,
      detail: `${key}: ${detail}`,
    });
    if (only.kind === 'progress') {
      update.dispatch(PROGRESS_TOO_LARGE, {jobId: only.progress.jobId});
    }
  }
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}

/** Puts an entry back among those that the journal lacks, unless there is a newer one. */
function restoreOwedEntry(update: Update, entry: JournalEntry): void {
  const owed = update.write(OWED_ENTRIES);
  const key = pendingKeyOf(entry);
  owed.set(key, owed.get(key) ?? entry);
}

/** Puts entries and commands of a batch before those that are pending. */
function restoreBatch(
  update: Update,
  entries: readonly JournalEntry[],
  commands: readonly DeferredCommand[],
): void {
  const pending = update.write(PENDING_ENTRIES);
  const later = new Map(pending.entries());
  pending.clear();
  for (const entry of entries) {
    const key = pendingKeyOf(entry);
    pending.set(key, later.get(key) ?? entry);
  }
  later.forEach((entry, key) => pending.set(key, entry));
  const deferredCommands = update.write(DEFERRED_COMMANDS);
  const laterCommands = deferredCommands.takeAll();
  [...commands, ...laterCommands].forEach(each =>
    deferredCommands.append(each),
  );
}
