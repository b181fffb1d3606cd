/** Names of the streams that the log consists of. */
export type StreamName =
  | 'configuration'
  | 'workers'
  | 'requests'
  | 'progress'
  | 'reserve'
  | 'states'
  | 'hosts';

/** A keyed record; the log keeps at least the newest record of each key. */
export interface LogRecord {
  readonly key: string;
  /** An empty value is a tombstone: it deletes the key. */
  readonly value: Buffer;
}

/** A record and its offset in its partition. */
export interface StoredRecord extends LogRecord {
  readonly offset: number;
}

/** Result of an append. */
export type AppendOutcome =
  | {
      readonly kind: 'appended';
      /** Offset of the first record. */
      readonly offset: number;
      /** End offset of the partition after the append. */
      readonly endOffset: number;
    }
  /** The end offset differs from `expectedEnd`; nothing was appended. */
  | {readonly kind: 'conflict'; readonly endOffset: number}
  /** The request was rejected or not sent; nothing was appended. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** A record or all of them are larger than the log takes; nothing was appended. */
  | {readonly kind: 'too-large'; readonly detail: string}
  /** No valid response: the records may have been appended, or may be later. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** An append to one partition of a stream. */
export interface AppendRequest {
  readonly stream: StreamName;
  readonly partition: number;
  readonly records: readonly LogRecord[];
  /** Appends only if this is the end offset; if omitted, unconditionally. */
  readonly expectedEnd?: number;
  readonly timeoutMillis: number;
}

/** What one read of a partition returned. */
export interface StreamRead {
  /** Records in order of offset. */
  readonly records: readonly StoredRecord[];
  /** Offset after the last record that was read. */
  readonly endOffset: number;
  /** End offset of the partition when the log answered the read. */
  readonly logEndOffset: number;
  /** When the read was sent, on the runtime's monotonic clock. */
  readonly sentAt: number;
  /**
   * Whether the records are the newest of each key, read because the history is
   * not available: keys that are absent were deleted.
   */
  readonly isSnapshot: boolean;
}

/** Whether every record that was appended before the read was sent was read. */
export function reachedLogEnd(
  read: Pick<StreamRead, 'endOffset' | 'logEndOffset'>,
): boolean {
  return read.endOffset >= read.logEndOffset;
}

/** Receives the records of a followed partition. */
export interface StreamListener {
  /** Called after each successful read, also if it returned no records. */
  onRead(read: StreamRead): void;
  /** Called when a read failed; it is retried. */
  onFailure(detail: string, kind: ReadFailure): void;
}

/**
 * How a read failed: `refused` if the log or the connection said so, `silent` if there
 * was no answer in time, which a log that is only slow may still give.
 */
export type ReadFailure = 'refused' | 'silent';

/** Which partition to follow, and how often to read it. */
export interface FollowOptions {
  readonly stream: StreamName;
  readonly partition: number;
  /** Milliseconds to pause after a read that returned the newest records. */
  readonly pauseMillis: () => number;
  /** Milliseconds for which the log may hold a read open until a record comes. */
  readonly waitMillis: number;
  /**
   * Whether a read without an answer is sent again beside the first, so that neither a
   * lost answer nor a slow way holds up the next records for long.
   */
  readonly isHedged?: boolean;
}

/** Controls the reads of a followed partition. */
export interface FollowHandle {
  stop(): void;
  /** Ends the pause before the next read, if there is one. */
  readNow(): void;
}

/** Access to the log, independent of the store behind it. */
export interface StreamLog {
  /** Number of partitions of the stream `requests`. */
  readonly partitions: number;
  append(request: AppendRequest): Promise<AppendOutcome>;
  /** Reads a snapshot, then new records until it is stopped. */
  follow(options: FollowOptions, listener: StreamListener): FollowHandle;
}
