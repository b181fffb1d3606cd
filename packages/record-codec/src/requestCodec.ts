import {jobSchema} from '@samphireramp/jobs';
import type {Request} from '@samphireramp/intake';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import * as z from 'zod/mini';
import {type OnMalformed, UNKNOWN_FORM} from './decodeEntries';
import {type OnInvalid, decodeJson} from './decodeJson';

const JOB_PREFIX = 'job.';
const CANCEL_PREFIX = 'cancel.';
const TOMBSTONE = Buffer.alloc(0);

/** A job, and the revision of the configuration that admitted it. */
const submitSchema = z.extend(jobSchema, {revision: z.optional(z.number())});
const cancelSchema = z.object({
  receivedAt: z.optional(z.number()),
  account: z.optional(z.string()),
});

/** Encodes a caller's request as a record. */
export function encodeRequest(request: Request): LogRecord {
  return match(request)
    .with({kind: 'submit'}, ({job, revision}) => ({
      key: JOB_PREFIX + job.id,
      value: Buffer.from(JSON.stringify({...job, revision})),
    }))
    .with({kind: 'cancel'}, ({jobId, receivedAt, account}) => ({
      key: CANCEL_PREFIX + jobId,
      value: Buffer.from(JSON.stringify({receivedAt, account})),
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

/** Lists the jobs that requests are about, whether or not they are decoded. */
export function jobIdsOf(records: readonly StoredRecord[]): string[] {
  return records
    .filter(({value}) => value.length > 0)
    .map(({key}) => jobIdIn(key));
}

function jobIdIn(key: string): string {
  return key.slice(key.indexOf('.') + 1);
}

/**
 * Decodes requests. Skips tombstones and jobs that are over, and calls `onMalformed`
 * for each invalid record. Most requests that a new holder reads are
 * about jobs that are over, and to decode them would delay its first orders.
 */
export function decodeRequests(
  records: readonly StoredRecord[],
  isOver: (jobId: string) => boolean,
  onMalformed: OnMalformed,
): Request[] {
  const requests: Request[] = [];
  for (const {key, value} of records) {
    if (value.length === 0 || isOver(jobIdIn(key))) {
      continue;
    }
    let reason = UNKNOWN_FORM;
    const request = decodeRequest(key, value, detail => {
      reason = detail;
    });
    if (request === undefined) {
      onMalformed(key, reason);
    } else {
      requests.push(request);
    }
  }
  return requests;
}

function decodeRequest(
  key: string,
  value: Buffer,
  onInvalid: OnInvalid,
): Request | undefined {
  if (key.startsWith(JOB_PREFIX)) {
    const submit = decodeJson(submitSchema, value, onInvalid);
    if (submit === undefined) {
      return undefined;
    }
    const {revision, ...job} = submit;
    return {kind: 'submit', job, revision};
  }
  if (key.startsWith(CANCEL_PREFIX)) {
    const cancel = decodeJson(cancelSchema, value, onInvalid);
    const jobId = key.slice(CANCEL_PREFIX.length);
    return (
      cancel && {
        kind: 'cancel',
        jobId,
        ...cancel,
        receivedAt: cancel.receivedAt ?? 0,
      }
    );
  }
  return undefined;
}
