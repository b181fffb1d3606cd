import type {Update} from '@samphireramp/kernel';
import type {HolderRecord} from './HolderRecord';
import {HOLDING, DURABLE_PROGRESS} from './HoldingState';
import type {JournalEntry, JournalRead, StoredEntry} from './messages';
import {advanceCopy, isOutdatedSnapshot} from './streamCopy';

/** Applies a durable entry to the durable progress. */
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
 * snapshot is applied in full: jobs that are absent from it are deleted. One that
 * ends before the copy does is skipped.
 */
export function applyReadEntries(update: Update, read: JournalRead): void {
  const {entries, isSnapshot} = read;
  const holding = update.write(HOLDING);
  const previous = holding.get();
  if (isOutdatedSnapshot(previous, read)) {
    holding.set({...previous, readAt: update.now});
    return;
  }
  if (isSnapshot) {
    deleteAbsentJobs(update, entries);
  }
  const holderRecords: HolderRecord[] = [];
  for (const {offset, entry} of entries) {
    if (offset < previous.endOffset && !isSnapshot) {
      continue;
    }
    applyEntry(update, entry);
    if (entry.kind === 'holder') {
      holderRecords.push(entry.record);
    }
  }
  holding.set({
    ...previous,
    ...advanceCopy(previous, read, holderRecords, update.now),
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
