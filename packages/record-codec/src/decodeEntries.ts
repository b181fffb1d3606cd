import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';

/** An entry of a stream that the holder writes, and its offset. */
export interface DecodedEntry<Entry> {
  readonly offset: number;
  readonly entry: Entry;
}

/**
 * Decodes records with `decodeEntry`, which returns undefined for an invalid one.
 * Calls `onMalformed` with the key of each of these.
 */
export function decodeEntries<Entry>(
  records: readonly StoredRecord[],
  decodeEntry: (record: LogRecord) => Entry | undefined,
  onMalformed: (key: string) => void,
): DecodedEntry<Entry>[] {
  const entries: DecodedEntry<Entry>[] = [];
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
