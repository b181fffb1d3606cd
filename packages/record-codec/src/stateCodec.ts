import type {HolderRecord} from '@samphireramp/holding';
import type {StateEntry, StoredStateEntry} from '@samphireramp/job-states';
import {type JobState, NO_ACCOUNT} from '@samphireramp/jobs';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import * as z from 'zod/mini';
import {type OnMalformed, decodeEntries} from './decodeEntries';
import {type OnInvalid, decodeJson} from './decodeJson';

type PublishedState = Extract<StateEntry, {kind: 'state'}>;

const HOLDER_KEY = 'holder';
const STANDBYS_KEY = 'standbys';
const JOB_PREFIX = 'job.';
const TOMBSTONE = Buffer.alloc(0);

/**
 * First letter of the record of a job, which the name of its queue follows. In upper
 * case, the length and the name of the job's account come first: `Q5:alicequeue`.
 */
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

const ACCOUNT_AND_QUEUE = /^(\d+):(.*)$/s;

const standbysSchema = z.array(z.string());

// Every host reads this record with each batch: without names of fields it is short.
const shortHolderRecordSchema = z.tuple([
  z.string(), // holder
  z.string(), // incarnation
  z.number(), // term
  z.number(), // batch
  z.nullable(z.number()), // age of the requests in milliseconds
]);

/** Encodes an entry of the stream of job states as a record. */
export function encodeStateEntry(entry: StateEntry): LogRecord {
  switch (entry.kind) {
    case 'holder':
      return {key: HOLDER_KEY, value: encodeShortHolderRecord(entry.record)};
    case 'standbys': {
      const value = Buffer.from(JSON.stringify(entry.hosts));
      return {key: STANDBYS_KEY, value};
    }
    case 'state': {
      const value = Buffer.from(encodeState(entry));
      return {key: JOB_PREFIX + entry.jobId, value};
    }
    case 'forgotten':
      return {key: JOB_PREFIX + entry.jobId, value: TOMBSTONE};
  }
}

/**
 * Decodes records of the stream of job states. Calls `onMalformed` for each invalid
 * record.
 */
export function decodeStates(
  records: readonly StoredRecord[],
  onMalformed: OnMalformed,
): StoredStateEntry[] {
  return decodeEntries(records, decodeEntry, onMalformed);
}

function decodeEntry(
  {key, value}: LogRecord,
  onInvalid: OnInvalid,
): StateEntry | undefined {
  if (key === HOLDER_KEY) {
    const record = decodeShortHolderRecord(value, onInvalid);
    return record && {kind: 'holder', record};
  }
  if (key === STANDBYS_KEY) {
    const hosts = decodeJson(standbysSchema, value, onInvalid);
    return hosts && {kind: 'standbys', hosts};
  }
  if (!key.startsWith(JOB_PREFIX)) {
    return undefined;
  }
  const jobId = key.slice(JOB_PREFIX.length);
  if (value.length === 0) {
    return {kind: 'forgotten', jobId};
  }
  return decodeState(jobId, value.toString());
}

function encodeState({queue, account, state}: PublishedState): string {
  const letter = LETTER_BY_STATE[state];
  return account === NO_ACCOUNT
    ? letter + queue
    : `${letter.toUpperCase()}${account.length}:${account}${queue}`;
}

function decodeState(jobId: string, text: string): StateEntry | undefined {
  const [letter = ''] = text;
  const content = text.slice(1);
  const state = STATE_BY_LETTER.get(letter.toLowerCase());
  if (state === undefined) {
    return undefined;
  }
  if (letter === LETTER_BY_STATE[state]) {
    return {kind: 'state', jobId, queue: content, account: NO_ACCOUNT, state};
  }
  const [, digits, names] = ACCOUNT_AND_QUEUE.exec(content) ?? [];
  const length = Number(digits);
  if (names === undefined || length === 0 || length > names.length) {
    return undefined;
  }
  const account = names.slice(0, length);
  return {kind: 'state', jobId, queue: names.slice(length), account, state};
}

function encodeShortHolderRecord(record: HolderRecord): Buffer {
  const short: z.infer<typeof shortHolderRecordSchema> = [
    record.holder,
    record.incarnation,
    record.term,
    record.batch,
    record.requestsAgeMillis ?? null,
  ];
  return Buffer.from(JSON.stringify(short));
}

function decodeShortHolderRecord(
  value: Buffer,
  onInvalid: OnInvalid,
): HolderRecord | undefined {
  const short = decodeJson(shortHolderRecordSchema, value, onInvalid);
  if (short === undefined) {
    return undefined;
  }
  const [holder, incarnation, term, batch, requestsAgeMillis] = short;
  return {
    holder,
    incarnation,
    term,
    batch,
    isResigned: false,
    requestsAgeMillis: requestsAgeMillis ?? undefined,
  };
}
