import {
  type JournalEntry,
  type LeaseBound,
  type ReserveEntry,
  type StoredEntry,
  holderRecordSchema,
} from '@samphireramp/holding';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import * as z from 'zod/mini';
import {type OnMalformed, decodeEntries} from './decodeEntries';
import {type OnInvalid, decodeJson} from './decodeJson';
import {decodeProgress, encodeProgress} from './progressCodec';

const HOLDER_KEY = 'holder';
const JOB_PREFIX = 'job.';
const LEASE_BOUND_PREFIX = 'lease.';
const TOMBSTONE = Buffer.alloc(0);
/** Value of a deletion in the reserve journal, where a tombstone says nothing. */
const DELETED = Buffer.from('deleted');

const leaseBoundSchema = z.tuple([
  z.number(), // term
  z.number(), // end of the leases, in milliseconds since the holding began
]);

/** Encodes an entry of the journal as a record. */
export function encodeJournalEntry(entry: JournalEntry): LogRecord {
  switch (entry.kind) {
    case 'holder': {
      const value = Buffer.from(JSON.stringify(entry.record));
      return {key: HOLDER_KEY, value};
    }
    case 'progress': {
      const {progress} = entry;
      const key = JOB_PREFIX + progress.jobId;
      return {key, value: encodeProgress(progress)};
    }
    case 'forgotten':
      return {key: JOB_PREFIX + entry.jobId, value: TOMBSTONE};
    case 'lease-bound': {
      const key = LEASE_BOUND_PREFIX + entry.bound.incarnation;
      return {key, value: encodeLeaseBound(entry.bound)};
    }
    case 'lease-bound-lifted':
      return {key: LEASE_BOUND_PREFIX + entry.incarnation, value: TOMBSTONE};
  }
}

/**
 * Encodes an entry of the reserve journal as a record. A deletion has a value, since the
 * next holder has to learn of it; a withdrawn entry has none.
 */
export function encodeReserveEntry(entry: ReserveEntry): LogRecord {
  if (entry.kind === 'withdrawn') {
    return {key: encodeJournalEntry(entry.entry).key, value: TOMBSTONE};
  }
  const {key, value} = encodeJournalEntry(entry);
  return {key, value: value.length === 0 ? DELETED : value};
}

/** Decodes records of the reserve journal, without those that are withdrawn. */
export function decodeReserve(
  records: readonly StoredRecord[],
  onMalformed: OnMalformed,
): StoredEntry[] {
  return decodeJournal(
    records
      .filter(({value}) => value.length > 0)
      .map(record =>
        record.value.equals(DELETED) ? {...record, value: TOMBSTONE} : record,
      ),
    onMalformed,
  );
}

/**
 * Decodes records of the journal. Of several valid ones about a job, only the newest
 * is decoded, which replaces the others. Calls `onMalformed` for each invalid record.
 */
export function decodeJournal(
  records: readonly StoredRecord[],
  onMalformed: OnMalformed,
): StoredEntry[] {
  const newestJobs = new Set<string>();
  const decodeNewest = (
    record: LogRecord,
    onInvalid: OnInvalid,
  ): JournalEntry | undefined => {
    const entry = decodeEntry(record, onInvalid);
    if (entry !== undefined && entry.kind !== 'holder') {
      newestJobs.add(record.key);
    }
    return entry;
  };
  const entries: StoredEntry[] = [];
  const malformed: Array<Parameters<OnMalformed>> = [];
  for (const record of [...records].reverse()) {
    if (!newestJobs.has(record.key)) {
      entries.push(
        ...decodeEntries([record], decodeNewest, (...args) =>
          malformed.push(args),
        ),
      );
    }
  }
  malformed.reverse().forEach(args => onMalformed(...args));
  return entries.reverse();
}

function decodeEntry(
  {key, value}: LogRecord,
  onInvalid: OnInvalid,
): JournalEntry | undefined {
  if (key === HOLDER_KEY) {
    const record = decodeJson(holderRecordSchema, value, onInvalid);
    return record && {kind: 'holder', record};
  }
  if (key.startsWith(LEASE_BOUND_PREFIX)) {
    const incarnation = key.slice(LEASE_BOUND_PREFIX.length);
    return decodeLeaseBound(incarnation, value, onInvalid);
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

function encodeLeaseBound({term, endsAtTermMillis}: LeaseBound): Buffer {
  const record: z.infer<typeof leaseBoundSchema> = [term, endsAtTermMillis];
  return Buffer.from(JSON.stringify(record));
}

/** A bound that can't be read is taken for a lifted one, which is always safe. */
function decodeLeaseBound(
  incarnation: string,
  value: Buffer,
  onInvalid: OnInvalid,
): JournalEntry {
  const lifted = {kind: 'lease-bound-lifted', incarnation} as const;
  if (value.length === 0) {
    return lifted;
  }
  const fields = decodeJson(leaseBoundSchema, value, onInvalid);
  if (fields === undefined) {
    return lifted;
  }
  const [term, endsAtTermMillis] = fields;
  return {kind: 'lease-bound', bound: {incarnation, term, endsAtTermMillis}};
}
