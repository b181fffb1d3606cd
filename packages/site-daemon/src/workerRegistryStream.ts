import type {WORKER_REGISTRY_READ, WorkerRecord} from '@samphireramp/fleet';
import type {PayloadOf} from '@samphireramp/kernel';
import type {OnInvalid, OnMalformed} from '@samphireramp/record-codec';
import type {StoredRecord} from '@samphireramp/stream-log';

/** Decodes an entry of the worker registry; undefined if it is invalid. */
export type DecodeWorker = (
  id: string,
  value: Buffer,
  onInvalid: OnInvalid,
) => WorkerRecord | undefined;

/** Turns reads of the worker registry into what they say of the workers. */
export type ReadWorkerRegistry = (
  records: readonly StoredRecord[],
  isSnapshot: boolean,
) => PayloadOf<typeof WORKER_REGISTRY_READ>;

/**
 * Creates a function that decodes the newest usable entry of each worker in a read.
 * An entry without a value was removed. A malformed one, which may come from another
 * writer, changes nothing: the entry before it holds.
 */
export function createWorkerRegistryReader(
  decodeWorker: DecodeWorker,
  onMalformed: OnMalformed,
): ReadWorkerRegistry {
  /** The newest valid entry of each worker; a snapshot may lack it. */
  let validEntries = new Map<string, WorkerRecord>();

  function decodeEntry(id: string, value: Buffer): WorkerRecord | undefined {
    let reason = '';
    const worker = decodeWorker(id, value, detail => {
      reason = detail;
    });
    if (worker === undefined) {
      onMalformed(id, reason);
    }
    return worker;
  }

  return (records, isSnapshot) => {
    const before = validEntries;
    validEntries = isSnapshot ? new Map() : before;
    const registered: WorkerRecord[] = [];
    const removed: string[] = [];
    for (const [id, values] of valuesByKey(records)) {
      const newest = findNewestUsable(values, value => decodeEntry(id, value));
      if (newest === 'removed') {
        removed.push(id);
        validEntries.delete(id);
        continue;
      }
      const worker = newest ?? (isSnapshot ? before.get(id) : undefined);
      if (worker !== undefined) {
        registered.push(worker);
        validEntries.set(id, worker);
      }
    }
    return {records: registered, removed, isSnapshot};
  };
}

/** Groups values by their key, the oldest first. */
function valuesByKey(records: readonly StoredRecord[]): Map<string, Buffer[]> {
  const values = new Map<string, Buffer[]>();
  for (const {key, value} of records) {
    const ofKey = values.get(key);
    if (ofKey === undefined) {
      values.set(key, [value]);
    } else {
      ofKey.push(value);
    }
  }
  return values;
}

/** Finds the newest value that is a removal or can be decoded. */
function findNewestUsable(
  values: readonly Buffer[],
  decode: (value: Buffer) => WorkerRecord | undefined,
): WorkerRecord | 'removed' | undefined {
  for (let index = values.length - 1; index >= 0; index--) {
    const value = values[index];
    if (value.length === 0) {
      return 'removed';
    }
    const worker = decode(value);
    if (worker !== undefined) {
      return worker;
    }
  }
  return undefined;
}
