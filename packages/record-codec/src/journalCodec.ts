import {
  type JournalEntry,
  type LeaseBound,
  type StoredEntry,
  holderRecordSchema,
} from '@samphireramp/holding';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import * as z from 'zod/mini';
import {decodeEntries} from './decodeEntries';
import {parseJson} from './parseJson';
import {decodeProgress, encodeProgress} from './progressCodec';

const HOLDER_KEY = 'holder';
const JOB_PREFIX = 'job.';
const LEASE_BOUND_PREFIX = 'lease.';
const TOMBSTONE = Buffer.alloc(0);

const leaseBoundSchema = z.tuple([
  z.number(), // term
  z.number(), // end of the leases, in milliseconds since the holding began
]);

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
    .with({kind: 'lease-bound'}, ({bound}) => ({
      key: LEASE_BOUND_PREFIX + bound.incarnation,
      value: encodeLeaseBound(bound),
    }))
    .with({kind: 'lease-bound-lifted'}, ({incarnation}) => ({
      key: LEASE_BOUND_PREFIX + incarnation,
      value: TOMBSTONE,
    }))
    .exhaustive();
}

/**
 * Decodes records of the journal. Calls `onMalformed` with the key of each invalid
 * record.
 */
export function decodeJournal(
  records: readonly StoredRecord[],
  onMalformed: (key: string) => void,
): StoredEntry[] {
  return decodeEntries(records, decodeEntry, onMalformed);
}

function decodeEntry({key, value}: LogRecord): JournalEntry | undefined {
  if (key === HOLDER_KEY) {
    const parsed = holderRecordSchema.safeParse(parseJson(value));
    return parsed.success ? {kind: 'holder', record: parsed.data} : undefined;
  }
  if (key.startsWith(LEASE_BOUND_PREFIX)) {
    return decodeLeaseBound(key.slice(LEASE_BOUND_PREFIX.length), value);
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

function encodeLeaseBound({term, endsAtTermMillis}: LeaseBound): Buffer {
  const record: z.infer<typeof leaseBoundSchema> = [term, endsAtTermMillis];
  return Buffer.from(JSON.stringify(record));
}

/** A bound that can't be read is taken for a lifted one, which is always safe. */
function decodeLeaseBound(incarnation: string, value: Buffer): JournalEntry {
  const parsed = leaseBoundSchema.safeParse(parseJson(value));
  if (!parsed.success) {
    return {kind: 'lease-bound-lifted', incarnation};
  }
  const [term, endsAtTermMillis] = parsed.data;
  return {kind: 'lease-bound', bound: {incarnation, term, endsAtTermMillis}};
}
