import {jobSchema} from '@samphireramp/jobs';
import type {Request} from '@samphireramp/intake';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {parseJson} from './parseJson';

const JOB_PREFIX = 'job.';
const CANCEL_PREFIX = 'cancel.';
const TOMBSTONE = Buffer.alloc(0);

/** Encodes a caller's request as a record. */
export function encodeRequest(request: Request): LogRecord {
  return match(request)
    .with({kind: 'submit'}, ({job}) => ({
      key: JOB_PREFIX + job.id,
      value: Buffer.from(JSON.stringify(job)),
    }))
    .with({kind: 'cancel'}, ({jobId, receivedAt}) => ({
      key: CANCEL_PREFIX + jobId,
      value: Buffer.from(JSON.stringify({receivedAt})),
    }))
    .exhaustive();
}

/** Encodes the tombstones that delete all requests about a job. */
export function encodeRequestTombstones(jobId: string): LogRecord[] {
  return [
    {key: JOB_PREFIX + jobId, value: TOMBSTONE},
    {key: CANCEL_PREFIX + jobId, value: TOMBSTONE},
  ];
}

/**
 * Decodes requests. Skips tombstones and jobs that are over, and calls `onMalformed`
 * with the key of each invalid record. Most requests that a new holder reads are
 * about jobs that are over, and to decode them would delay its first orders.
 */
export function decodeRequests(
  records: readonly StoredRecord[],
  isOver: (jobId: string) => boolean,
  onMalformed: (key: string) => void,
): Request[] {
  const requests: Request[] = [];
  for (const {key, value} of records) {
    const jobId = key.slice(key.indexOf('.') + 1);
    if (value.length === 0 || isOver(jobId)) {
      continue;
    }
    const request = decodeRequest(key, value);
    if (request === undefined) {
      onMalformed(key);
    } else {
      requests.push(request);
    }
  }
  return requests;
}

function decodeRequest(key: string, value: Buffer): Request | undefined {
  if (key.startsWith(JOB_PREFIX)) {
    const parsed = jobSchema.safeParse(parseJson(value));
    return parsed.success ? {kind: 'submit', job: parsed.data} : undefined;
  }
  if (key.startsWith(CANCEL_PREFIX)) {
    const content = parseJson(value) as {receivedAt?: unknown} | undefined;
    const receivedAt = Number(content?.receivedAt ?? 0);
    const jobId = key.slice(CANCEL_PREFIX.length);
    return {kind: 'cancel', jobId, receivedAt};
  }
  return undefined;
}
