import type {Update} from '@samphireramp/kernel';
import {HOLDING, DURABLE_PROGRESS} from './HoldingState';
import type {JournalEntry, StoredEntry} from './messages';

/** Makes an entry part of what callers may see. */
export function applyEntry(update: Update, entry: JournalEntry): void {
  const views = update.write(DURABLE_PROGRESS);
  if (entry.kind === 'progress') {
    views.set(entry.progress.jobId, entry.progress);
  } else if (entry.kind === 'forgotten') {
    views.delete(entry.jobId);
  }
}

/** Applies entries that were read; those applied before are passed over. */
export function applyRead(
  update: Update,
  entries: readonly StoredEntry[],
  end: number,
  isWhole: boolean,
): void {
  const holding = update.write(HOLDING);
  const before = holding.get();
  if (isWhole) {
    dropAbsent(update, entries);
  }
  let {latest, holderHeardAt: heardAt} = before;
  for (const {offset, entry} of entries) {
    if (offset < before.end && !isWhole) {
      continue;
    }
    applyEntry(update, entry);
    if (entry.kind === 'holder') {
      latest = entry.record;
      heardAt = update.now;
    }
  }
  holding.set({
    ...before,
    latest,
    holderHeardAt: before.isCaughtUp ? heardAt : update.now,
    end: Math.max(before.end, end),
    isCaughtUp: true,
    journalReadAt: update.now,
  });
}

function dropAbsent(update: Update, entries: readonly StoredEntry[]): void {
  const present = new Set<string>();
  for (const {entry} of entries) {
    if (entry.kind === 'progress') {
      present.add(entry.progress.jobId);
    }
  }
  const views = update.write(DURABLE_PROGRESS);
  for (const jobId of [...views.keys()]) {
    if (!present.has(jobId)) {
      views.delete(jobId);
    }
  }
}
