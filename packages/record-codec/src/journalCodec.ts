import {
  type JournalEntry,
  type StoredEntry,
  holderRecordSchema,
} from '@samphireramp/holding';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {type OnMalformed, decodeEntries} from './decodeEntries';
import {type OnInvalid, decodeJson} from './decodeJson';
import {decodeProgress, encodeProgress} from './progressCodec';

const HOLDER_KEY = 'holder';
const JOB_PREFIX = 'job.';
const TOMBSTONE = Buffer.alloc(0);

/** Encodes an entry of the journal as a record. */
export function encodeJournalEntry(entry: JournalEntry): LogRecord {
  return match(entry)
    .with({kind: 'holder'}, ({record}) => ({
      key: HOLDER_KEY,
      value: Buffer.from(JSON.stringify(record)),
    }))
    .with({kind: 'progress'}, ({progress}) => ({
      key: JOB_PREFIX + progress.jobId,
      value: encodeProgress(progress),
    }))
    .with({kind: 'forgotten'}, ({jobId}) => ({
      key: JOB_PREFIX + jobId,
      value: TOMBSTONE,
    }))
    .exhaustive();
}

/**
 * Decodes records of the journal. Calls `onMalformed` for each invalid record.
 */
export function decodeJournal(
  records: readonly StoredRecord[],
  onMalformed: OnMalformed,
): StoredEntry[] {
  return decodeEntries(records, decodeEntry, onMalformed);
}

function decodeEntry(
  {key, value}: LogRecord,
  onInvalid: OnInvalid,
): JournalEntry | undefined {
  if (key === HOLDER_KEY) {
    const record = decodeJson(holderRecordSchema, value, onInvalid);
    return record && {kind: 'holder', record};
  }
  if (!key.startsWith(JOB_PREFIX)) {
    return undefined;
  }
  const jobId = key.slice(JOB_PREFIX.length);
  if (value.length === 0) {
    return {kind: 'forgotten', jobId};
  }
  const progress = decodeProgress(jobId, value, onInvalid);
  return progress && {kind: 'progress', progress};
}
