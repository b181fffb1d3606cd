import {type HostRecord, hostRecordSchema} from '@samphireramp/hosts';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import {parseJson} from './parseJson';

/** Encodes the address, zone and region of a host as a record. */
export function encodeHost(host: HostRecord): LogRecord {
  return {key: host.name, value: Buffer.from(JSON.stringify(host))};
}

/**
 * Decodes records of hosts. Skips tombstones, and calls `onMalformed` with the key
 * of each invalid record.
 */
export function decodeHosts(
  records: readonly StoredRecord[],
  onMalformed: (key: string) => void,
): HostRecord[] {
  const hosts: HostRecord[] = [];
  for (const {key, value} of records) {
    if (value.length === 0) {
      continue;
    }
    const parsed = hostRecordSchema.safeParse(parseJson(value));
    if (parsed.success) {
      hosts.push(parsed.data);
    } else {
      onMalformed(key);
    }
  }
  return hosts;
}
