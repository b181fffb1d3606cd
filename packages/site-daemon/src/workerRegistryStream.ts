import type {WORKER_REGISTRY_READ, WorkerRecord} from '@samphireramp/fleet';
import type {PayloadOf} from '@samphireramp/kernel';
import type {StoredRecord} from '@samphireramp/stream-log';
import type {Log} from '@samphireramp/telemetry';

/** Decodes an entry of the worker registry; undefined if it is invalid. */
export type DecodeWorker = (
  id: string,
  value: Buffer,
) => WorkerRecord | undefined;

/**
 * Decodes the newest entry of each worker in a read of the worker registry. An
 * entry without a value was removed; a malformed one is logged and left out.
 */
export function decodeWorkerRegistry(
  records: readonly StoredRecord[],
  isSnapshot: boolean,
  decodeWorker: DecodeWorker,
  log: Log,
): PayloadOf<typeof WORKER_REGISTRY_READ> {
  const newestValues = new Map(records.map(({key, value}) => [key, value]));
  const registered: WorkerRecord[] = [];
  const removed: string[] = [];
  for (const [id, value] of newestValues) {
    if (value.length === 0) {
      removed.push(id);
      continue;
    }
    const worker = decodeWorker(id, value);
    if (worker === undefined) {
      log('record-malformed', {stream: 'workers', key: id});
    } else {
      registered.push(worker);
    }
  }
  return {records: registered, removed, isSnapshot};
}
