import type {Update} from '@samphireramp/kernel';
import {reachedLogEnd} from '@samphireramp/stream-log';
import {HOLDING, DURABLE_PROGRESS} from './HoldingState';
import {learnFromBatch} from './jobKnowledge';
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
 * snapshot is applied in full: jobs that are absent from it are deleted. One that
 * ends before the copy does is skipped.
 */
export function applyReadEntries(update: Update, read: JournalRead): void {
  const {entries, endOffset, logEndOffset, isSnapshot} = read;
  const holding = update.write(HOLDING);
  const previous = holding.get();
  if (isSnapshot && endOffset < previous.endOffset) {
    holding.set({...previous, journalReadAt: update.now});
    return;
  }
  if (isSnapshot) {
    deleteAbsentJobs(update, entries);
  }
  let {latestHolderRecord, holderHeardAt, jobKnowledge} = previous;
  // Records that the copy did not have when it was complete are newer than that.
  // A snapshot has only the newest holder record, which may be newer than jobs
  // in it.
  const appendedAfter = isSnapshot ? -Infinity : previous.completeUntil;
  for (const {offset, entry} of entries) {
    if (offset < previous.endOffset && !isSnapshot) {
      continue;
    }
    applyEntry(update, entry);
    if (entry.kind === 'holder') {
      jobKnowledge = learnFromBatch(
        jobKnowledge,
        isSnapshot ? undefined : latestHolderRecord,
        entry.record,
        appendedAfter,
      );
      latestHolderRecord = entry.record;
      holderHeardAt = update.now;
    }
  }
  // The first read doesn't tell how old the records are, so the silence of the
  // holder counts from this read.
  const isComplete = reachedLogEnd(read);
  holding.set({
    ...previous,
    latestHolderRecord,
    jobKnowledge,
    // Elsewhere a page may end within a batch.
    jobsCompleteUntil: isComplete
      ? Math.max(previous.jobsCompleteUntil, jobKnowledge.jobsUntil)
      : previous.jobsCompleteUntil,
    holderHeardAt: previous.isCaughtUp ? holderHeardAt : update.now,
    endOffset: Math.max(previous.endOffset, endOffset),
    logEndOffset: Math.max(previous.logEndOffset, logEndOffset),
    completeUntil: isComplete
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
