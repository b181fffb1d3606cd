import {type HostRecord, hostRecordSchema} from '@samphireramp/hosts';
import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import type {OnMalformed} from './decodeEntries';
import {decodeJson} from './decodeJson';

/** Encodes the address, zone and region of a host as a record. */
export function encodeHost(host: HostRecord): LogRecord {
  return {key: host.name, value: Buffer.from(JSON.stringify(host))};
}

/**
 * Decodes records of hosts. Skips tombstones, and calls `onMalformed` for each
 * invalid record.
 */
export function decodeHosts(
  records: readonly StoredRecord[],
  onMalformed: OnMalformed,
): HostRecord[] {
  const hosts: HostRecord[] = [];
  for (const {key, value} of records) {
    if (value.length === 0) {
      continue;
    }
    const host = decodeJson(hostRecordSchema, value, reason =>
      onMalformed(key, reason),
    );
    if (host !== undefined) {
      hosts.push(host);
    }
  }
  return hosts;
}
