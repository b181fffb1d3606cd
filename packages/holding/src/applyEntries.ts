import type {Update} from '@samphireramp/kernel';
import type {HolderRecord} from './HolderRecord';
import {HOLDING, type HoldingState, DURABLE_PROGRESS} from './HoldingState';
import {DURABLE_LEASE_BOUNDS, deleteAbsentLeaseBounds} from './leaseBounds';
import type {JournalEntry, JournalRead, StoredEntry} from './messages';
import {EMPTY_COPY, advanceCopy, isOutdatedSnapshot} from './streamCopy';

/** Applies a durable entry to the copy of the journal. */
export function applyEntry(update: Update, entry: JournalEntry): void {
  switch (entry.kind) {
    case 'progress':
      update.write(DURABLE_PROGRESS).set(entry.progress.jobId, entry.progress);
      return;
    case 'forgotten':
      update.write(DURABLE_PROGRESS).delete(entry.jobId);
      return;
    case 'lease-bound':
      update
        .write(DURABLE_LEASE_BOUNDS)
        .set(entry.bound.incarnation, entry.bound);
      return;
    case 'lease-bound-lifted':
      update.write(DURABLE_LEASE_BOUNDS).delete(entry.incarnation);
      return;
    case 'holder':
      return;
    default:
      entry satisfies never;
  }
}

/**
 * Drops the copy of the journal, which this host no longer follows. Claims need
 * a copy, so that this host makes none until it has read the journal again.
 */
export function dropJournalCopy(update: Update): void {
  const holding = update.write(HOLDING);
  holding.set({...holding.get(), ...EMPTY_COPY, termBeganBefore: Infinity});
  update.write(DURABLE_PROGRESS).clear();
  update.write(DURABLE_LEASE_BOUNDS).clear();
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
    deleteAbsentLeaseBounds(update, entries);
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
    termBeganBefore: boundTermBeginning(previous, holderRecords, update.now),
  });
}

/** Returns a time before which the holding of the newest record began. */
function boundTermBeginning(
  {latestHolderRecord, termBeganBefore}: HoldingState,
  holderRecords: readonly HolderRecord[],
  now: number,
): number {
  let latestTerm = latestHolderRecord?.term;
  let beganBefore = termBeganBefore;
  for (const {term, termMillis} of holderRecords) {
    // The record was created before it was read.
    const bound = termMillis === undefined ? Infinity : now - termMillis;
    beganBefore = term === latestTerm ? Math.min(beganBefore, bound) : bound;
    latestTerm = term;
  }
  return beganBefore;
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
