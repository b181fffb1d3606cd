import type {LogRecord, StoredRecord} from '@samphireramp/stream-log';
import type {OnInvalid} from './decodeJson';

/** Reason for a record that is not of any form that the stream has. */
export const UNKNOWN_FORM = 'unknown form';

/** An entry of a stream that the holder writes, and its offset. */
export interface DecodedEntry<Entry> {
  readonly offset: number;
  readonly entry: Entry;
}

/** Called with the key of a malformed record and what is wrong with it. */
export type OnMalformed = (key: string, reason: string) => void;

/**
 * Decodes records with `decodeEntry`, which returns undefined for an invalid one.
 * Calls `onMalformed` for each of these.
 */
export function decodeEntries<Entry>(
  records: readonly StoredRecord[],
  decodeEntry: (record: LogRecord, onInvalid: OnInvalid) => Entry | undefined,
  onMalformed: OnMalformed,
): DecodedEntry<Entry>[] {
  const entries: DecodedEntry<Entry>[] = [];
  for (const record of records) {
    let reason = UNKNOWN_FORM;
    const entry = decodeEntry(record, detail => {
      reason = detail;
    });
    if (entry === undefined) {
      onMalformed(record.key, reason);
    } else {
      entries.push({offset: record.offset, entry});
    }
  }
  return entries;
}
