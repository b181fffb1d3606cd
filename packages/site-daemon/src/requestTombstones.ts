import {encodeRequestTombstones} from '@samphireramp/record-codec';
import type {StreamLog} from '@samphireramp/stream-log';
import type {Log} from '@samphireramp/telemetry';

/** Timeout of the append that deletes requests from one partition. */
const FORGET_APPEND_TIMEOUT_MILLIS = 2000;

/**
 * Appends tombstones for the requests about jobs to partitions: a request may be in
 * any partition, and in several, since a batch may be sent again to another one.
 * Resolves to true if all tombstones are durable.
 */
export async function forgetRequests(
  streams: StreamLog,
  partitions: readonly number[],
  jobIds: readonly string[],
  log: Log,
): Promise<boolean> {
  const records = jobIds.flatMap(encodeRequestTombstones);
  let areDeleted = true;
  for (const partition of partitions) {
    const outcome = await streams.append({
      stream: 'requests',
      partition,
      records,
      timeoutMillis: FORGET_APPEND_TIMEOUT_MILLIS,
    });
    areDeleted &&= outcome.kind === 'appended';
    log('requests-forgotten', {
      partition,
      count: jobIds.length,
      outcome: outcome.kind,
    });
  }
  return areDeleted;
}
