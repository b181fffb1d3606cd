import {
  type JournalEntry,
  type StoredEntry,
  holderRecordSchema,
} from '@samphireramp/holding';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {decodeEntries} from './decodeEntries';
import {parseJson} from './parseJson';
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
 * Decodes records of the journal. Of several valid ones about a job, only the newest
 * is decoded, which replaces the others. Calls `onMalformed` with the key of each
 * invalid record.
 */
export function decodeJournal(
  records: readonly StoredRecord[],
  onMalformed: (key: string) => void,
): StoredEntry[] {
  const newestJobs = new Set<string>();
  const decodeNewest = (record: LogRecord): JournalEntry | undefined => {
    const entry = decodeEntry(record);
    if (entry !== undefined && entry.kind !== 'holder') {
      newestJobs.add(record.key);
    }
    return entry;
  };
  const entries: StoredEntry[] = [];
  const malformedKeys: string[] = [];
  for (const record of [...records].reverse()) {
    if (!newestJobs.has(record.key)) {
      entries.push(
        ...decodeEntries([record], decodeNewest, key =>
          malformedKeys.push(key),
        ),
      );
    }
  }
  malformedKeys.reverse().forEach(key => onMalformed(key));
  return entries.reverse();
}

function decodeEntry({key, value}: LogRecord): JournalEntry | undefined {
  if (key === HOLDER_KEY) {
    const parsed = holderRecordSchema.safeParse(parseJson(value));
    return parsed.success ? {kind: 'holder', record: parsed.data} : undefined;
  }
  if (!key.startsWith(JOB_PREFIX)) {
    return undefined;
  }
  const jobId = key.slice(JOB_PREFIX.length);
  if (value.length === 0) {
    return {kind: 'forgotten', jobId};
  }
  const progress = decodeProgress(jobId, value);
  return progress && {kind: 'progress', progress};
}
