import type {Update} from '@samphireramp/kernel';
import {reachedLogEnd} from '@samphireramp/stream-log';
import {HOLDING, DURABLE_PROGRESS} from './HoldingState';
import type {JournalEntry, JournalRead, StoredEntry} from './messages';

/** Applies a durable entry to the progress that callers are shown. */
export function applyEntry(update: Update, entry: JournalEntry): void {
  const durableProgress = update.write(DURABLE_PROGRESS);
  if (entry.kind === 'progress') {
    durableProgress.set(entry.progress.jobId, entry.progress);
  } else if (entry.kind === 'forgotten') {
    durableProgress.delete(entry.jobId);
  }
}

/**
 * Applies entries read from the journal and skips those applied before. A
 * snapshot is applied in full: jobs that are absent from it are deleted.
 */
export function applyReadEntries(update: Update, read: JournalRead): void {
  const {entries, endOffset, logEndOffset, isSnapshot} = read;
  const holding = update.write(HOLDING);
  const previous = holding.get();
  if (isSnapshot) {
    deleteAbsentJobs(update, entries);
  }
  let {latestHolderRecord, holderHeardAt} = previous;
  for (const {offset, entry} of entries) {
    if (offset < previous.endOffset && !isSnapshot) {
      continue;
    }
    applyEntry(update, entry);
    if (entry.kind === 'holder') {
      latestHolderRecord = entry.record;
      holderHeardAt = update.now;
    }
  }
  // The first read doesn't tell how old the records are, so the silence of the
  // holder counts from this read.
  holding.set({
    ...previous,
    latestHolderRecord,
    holderHeardAt: previous.isCaughtUp ? holderHeardAt : update.now,
    endOffset: Math.max(previous.endOffset, endOffset),
    logEndOffset: Math.max(previous.logEndOffset, logEndOffset),
    completeUntil: reachedLogEnd(read)
      ? Math.max(previous.completeUntil, read.sentAt)
      : previous.completeUntil,
    isCaughtUp: true,
    journalReadAt: update.now,
  });
}

function deleteAbsentJobs(
  update: Update,
  entries: readonly StoredEntry[],
): void {
  const presentJobIds = new Set<string>();
  for (const {entry} of entries) {
    if (entry.kind === 'progress') {
      presentJobIds.add(entry.progress.jobId);
    }
  }
  const durableProgress = update.write(DURABLE_PROGRESS);
  for (const jobId of [...durableProgress.keys()]) {
    if (!presentJobIds.has(jobId)) {
      durableProgress.delete(jobId);
    }
  }
}
