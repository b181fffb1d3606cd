import {type HolderRecord, holderRecordSchema} from '@samphireramp/holding';
import type {StateEntry, StoredStateEntry} from '@samphireramp/job-states';
import type {JobState} from '@samphireramp/jobs';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import * as z from 'zod/mini';
import {parseJson} from './parseJson';

const HOLDER_KEY = 'holder';
const STANDBYS_KEY = 'standbys';
const JOB_PREFIX = 'job.';
const TOMBSTONE = Buffer.alloc(0);

/** First letter of the record of a job, which the name of its queue follows. */
const LETTER_BY_STATE: Readonly<Record<JobState, string>> = {
  queued: 'q',
  running: 'r',
  completed: 'c',
  failed: 'f',
  cancelled: 'x',
};
const STATE_BY_LETTER: ReadonlyMap<string, JobState> = new Map(
  Object.entries(LETTER_BY_STATE).map(([state, letter]) => [
    letter,
    state as JobState,
  ]),
);

const standbysSchema = z.array(z.string());

/** Encodes an entry of the stream of job states as a record. */
export function encodeStateEntry(entry: StateEntry): LogRecord {
  return match(entry)
    .with({kind: 'holder'}, ({record}) => ({
      key: HOLDER_KEY,
      value: Buffer.from(JSON.stringify(record)),
    }))
    .with({kind: 'standbys'}, ({hosts}) => ({
      key: STANDBYS_KEY,
      value: Buffer.from(JSON.stringify(hosts)),
    }))
    .with({kind: 'state'}, ({jobId, queue, state}) => ({
      key: JOB_PREFIX + jobId,
      value: Buffer.from(LETTER_BY_STATE[state] + queue),
    }))
    .with({kind: 'forgotten'}, ({jobId}) => ({
      key: JOB_PREFIX + jobId,
      value: TOMBSTONE,
    }))
    .exhaustive();
}

/**
 * Decodes records of the stream of job states. Calls `onMalformed` with the key of
 * each invalid record.
 */
export function decodeStates(
  records: readonly StoredRecord[],
  onMalformed: (key: string) => void,
): StoredStateEntry[] {
  const entries: StoredStateEntry[] = [];
  for (const record of records) {
    const entry = decodeEntry(record);
    if (entry === undefined) {
      onMalformed(record.key);
    } else {
      entries.push({offset: record.offset, entry});
    }
  }
  return entries;
}

function decodeEntry({key, value}: LogRecord): StateEntry | undefined {
  if (key === HOLDER_KEY) {
    const record = decodeHolderRecord(value);
    return record && {kind: 'holder', record};
  }
  if (key === STANDBYS_KEY) {
    const parsed = standbysSchema.safeParse(parseJson(value));
    return parsed.success ? {kind: 'standbys', hosts: parsed.data} : undefined;
  }
  if (!key.startsWith(JOB_PREFIX)) {
    return undefined;
  }
  const jobId = key.slice(JOB_PREFIX.length);
  if (value.length === 0) {
    return {kind: 'forgotten', jobId};
  }
  const text = value.toString();
  const state = STATE_BY_LETTER.get(text[0]);
  return state && {kind: 'state', jobId, queue: text.slice(1), state};
}

/** Decodes the record that heads a batch; undefined if it is invalid. */
export function decodeHolderRecord(value: Buffer): HolderRecord | undefined {
  const parsed = holderRecordSchema.safeParse(parseJson(value));
  return parsed.success ? parsed.data : undefined;
}
