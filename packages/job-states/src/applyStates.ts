import type {Update} from '@samphireramp/kernel';
import {
  type HolderRecord,
  advanceCopy,
  isOutdatedSnapshot,
} from '@samphireramp/holding';
import {JOB_STATES, STANDBYS, STATES_COPY} from './JobStates';
import type {StateEntry, StatesRead, StoredStateEntry} from './messages';

/** Applies an entry of the stream to the states that callers are shown. */
export function applyStateEntry(update: Update, entry: StateEntry): void {
  switch (entry.kind) {
    case 'state': {
      const {jobId, queue, account, state} = entry;
      update.write(JOB_STATES).set(jobId, {queue, account, state});
      return;
    }
    case 'forgotten':
      update.write(JOB_STATES).delete(entry.jobId);
      return;
    case 'standbys':
      update.write(STANDBYS).set(entry.hosts);
      return;
    case 'holder':
      return;
    default:
      entry satisfies never;
  }
}

/**
 * Applies entries read from the stream and skips those applied before. A snapshot
 * is applied in full: jobs that are absent from it are deleted.
 */
export function applyStatesRead(update: Update, read: StatesRead): void {
  const {entries, isSnapshot} = read;
  const copy = update.write(STATES_COPY);
  const previous = copy.get();
  if (isOutdatedSnapshot(previous, read)) {
    copy.set({...previous, readAt: update.now});
    return;
  }
  if (isSnapshot) {
    deleteAbsentStates(update, entries);
  }
  const holderRecords: HolderRecord[] = [];
  for (const {offset, entry} of entries) {
    if (offset < previous.endOffset && !isSnapshot) {
      continue;
    }
    applyStateEntry(update, entry);
    if (entry.kind === 'holder') {
      holderRecords.push(entry.record);
    }
  }
  copy.set(advanceCopy(previous, read, holderRecords, update.now));
}

function deleteAbsentStates(
  update: Update,
  entries: readonly StoredStateEntry[],
): void {
  const presentJobIds = new Set<string>();
  for (const {entry} of entries) {
    if (entry.kind === 'state') {
      presentJobIds.add(entry.jobId);
    }
  }
  const states = update.write(JOB_STATES);
  for (const jobId of [...states.keys()]) {
    if (!presentJobIds.has(jobId)) {
      states.delete(jobId);
    }
  }
}
