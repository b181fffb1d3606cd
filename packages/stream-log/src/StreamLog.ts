/** Streams that the product keeps or reads in the log. */
export type StreamName =
  'configuration' | 'workers' | 'requests' | 'progress' | 'hosts';

/** A record with a key; the newest of each key is kept. */
export interface LogRecord {
  readonly key: string;
  /** Empty drops the key. */
  readonly value: Buffer;
}

/** A record and its place in the stream. */
export interface StoredRecord extends LogRecord {
  readonly offset: number;
}

/** What came of an append. */
export type AppendOutcome =
  | {readonly kind: 'appended'; readonly offset: number; readonly end: number}
  /** The stream did not end where the append asked; nothing was done. */
  | {readonly kind: 'conflict'; readonly end: number}
  /** The log said that it did nothing. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** No answer: it may be done, also later. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** An append to a stream. */
export interface AppendRequest {
  readonly stream: StreamName;
  readonly partition: number;
  readonly records: readonly LogRecord[];
  /** Where the stream must end for this to be done; left out: anywhere. */
  readonly expectedEnd?: number;
  readonly timeoutMillis: number;
}

/** What a reader of a stream is told. */
export interface StreamListener {
  /**
   * Records in order. `isWhole` marks the newest of each key, read because the
   * history was not at hand: keys that are absent are gone.
   */
  onRecords(
    records: readonly StoredRecord[],
    end: number,
    isSnapshot: boolean,
  ): void;
  /** The stream can't be read now; reading goes on. */
  onFailure(detail: string): void;
}

/** How a stream is followed. */
export interface FollowOptions {
  readonly stream: StreamName;
  readonly partition: number;
  /** Least milliseconds from one answer with records to the next call. */
  readonly minPauseMillis: () => number;
  /** How long a read waits for a record, in milliseconds. */
  readonly waitMillis: number;
}

/** A stream that is being followed. */
export interface FollowHandle {
  stop(): void;
  /** Ends a pause between two reads. */
  readNow(): void;
}

/** The log, as the product needs it. */
export interface StreamLog {
  /** Partitions of the stream of requests. */
  readonly partitions: number;
  append(request: AppendRequest): Promise<AppendOutcome>;
  /** Reads all that is kept, then goes on until it is stopped. */
  follow(options: FollowOptions, listener: StreamListener): FollowHandle;
}
