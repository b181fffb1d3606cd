import type {
  AppendOutcome,
  AppendRequest,
  FollowHandle,
  FollowOptions,
  StoredRecord,
  StreamListener,
  StreamLog,
  StreamName,
} from '@samphireramp/stream-log';
import type {Timeline} from '../EventQueue';

/** Time until an append takes effect, without delays by faults. */
const APPEND_MILLIS = 4;
/** Interval at which a reader that follows a partition gets new records. */
const READ_INTERVAL_MILLIS = 3;
/** Timeout of a read that the log does not answer. */
const READ_TIMEOUT_MILLIS = 300;
/** Time after a failed read until the next one. */
const READ_RETRY_MILLIS = 100;

/** Decides which calls of hosts to the log fail, and how. */
export interface LogFaultState {
  /** Whether the log answers a host's calls, refuses them or stays silent. */
  logAvailability(host: string): 'answers' | 'refuses' | 'silent';
  /** Whether the answer to an append is lost; the append itself is executed. */
  losesAppendAnswer(): boolean;
  /** Additional time for an append; can exceed the caller's timeout. */
  appendDelayMillis(): number;
}

/** How the log answers the reads of a host that follows a partition. */
export interface ReadBehaviour {
  /** Whether reads succeed. */
  readonly isAvailable: boolean;
  /** Maximum number of records in the answer to a read. */
  readonly maxRecords: number;
  /** Time between two reads. */
  readonly intervalMillis: number;
}

/** Each read returns all new records. */
export const PROMPT_READS: ReadBehaviour = {
  isAvailable: true,
  maxRecords: Infinity,
  intervalMillis: READ_INTERVAL_MILLIS,
};

/**
 * An in-memory log. A reader that follows a partition first receives a snapshot,
 * then each new record.
 */
export class ModelLog {
  private readonly partitions = new Map<string, StoredRecord[]>();

  constructor(
    private readonly timeline: Timeline,
    private readonly faultState: LogFaultState,
    readonly partitionCount: number,
  ) {}

  /** Returns all records of a partition, in order of their offsets. */
  records(stream: StreamName, partition: number): StoredRecord[] {
    const key = `${stream}/${partition}`;
    const known = this.partitions.get(key);
    if (known !== undefined) {
      return known;
    }
    const created: StoredRecord[] = [];
    this.partitions.set(key, created);
    return created;
  }

  /** Appends a record of an operator or worker; no fault affects it. */
  put(stream: StreamName, key: string, value: Buffer): void {
    const records = this.records(stream, 0);
    records.push({key, value, offset: records.length});
  }

  /**
   * Returns the log client of one host, which is subject to faults. It reads no
   * more records once `isAlive` returns false.
   */
  createStreamLog(host: string, isAlive: () => boolean): StreamLog {
    return {
      partitions: this.partitionCount,
      append: request => this.append(host, request),
      follow: (options, listener) =>
        this.follow(host, isAlive, options, listener),
    };
  }

  /**
   * Time that a partition of the `requests` stream takes for an append. It is
   * called once for each append; tests replace it.
   */
  requestAppendMillis: (partition: number) => number = () => APPEND_MILLIS;

  /** Time that an append to another stream takes; tests replace it. */
  otherAppendMillis: (stream: StreamName) => number = () => APPEND_MILLIS;

  /** Whether calls to a partition of a stream are reset; tests replace it. */
  isStreamDown: (stream: StreamName, partition: number) => boolean = () =>
    false;

  /** Whether reads of a partition take longer than their timeout; tests replace it. */
  isStreamSlow: (stream: StreamName, partition: number) => boolean = () =>
    false;

  /** How reads of a host are answered; tests replace it. */
  readBehaviour: (host: string, stream: StreamName) => ReadBehaviour = () =>
    PROMPT_READS;

  private append(host: string, request: AppendRequest): Promise<AppendOutcome> {
    const {timeline, faultState} = this;
    return new Promise(resolve => {
      const availability = faultState.logAvailability(host);
      if (availability === 'refuses') {
        timeline.after(1, () => resolve({kind: 'refused', detail: 'busy'}));
        return;
      }
      const resolveUnknown = () =>
        resolve({kind: 'unknown', detail: 'no answer'});
      if (this.isStreamDown(request.stream, request.partition)) {
        timeline.after(1, resolveUnknown);
        return;
      }
      if (availability === 'silent') {
        timeline.after(request.timeoutMillis, resolveUnknown);
        return;
      }
      const isAnswerLost = faultState.losesAppendAnswer();
      const appendMillis =
        request.stream === 'requests'
          ? this.requestAppendMillis(request.partition)
          : this.otherAppendMillis(request.stream);
      const delayMillis = appendMillis + faultState.appendDelayMillis();
      timeline.after(delayMillis, () => {
        const outcome = this.applyAppend(request);
        if (!isAnswerLost) {
          timeline.after(1, () => resolve(outcome));
        }
      });
      timeline.after(request.timeoutMillis, resolveUnknown);
    });
  }

  /** Appends at once, unless the end offset differs from `expectedEnd`. */
  applyAppend(request: Omit<AppendRequest, 'timeoutMillis'>): AppendOutcome {
    const {stream, partition, expectedEnd} = request;
    const records = this.records(stream, partition);
    if (expectedEnd !== undefined && expectedEnd !== records.length) {
      return {kind: 'conflict', endOffset: records.length};
    }
    const offset = records.length;
    for (const record of request.records) {
      records.push({...record, offset: records.length});
    }
    return {kind: 'appended', offset, endOffset: records.length};
  }

  private follow(
    host: string,
    isAlive: () => boolean,
    {stream, partition}: FollowOptions,
    listener: StreamListener,
  ): FollowHandle {
    let isStopped = false;
    let nextOffset: number | undefined;
    const read = () => {
      if (isStopped || !isAlive()) {
        return;
      }
      const behaviour = this.readBehaviour(host, stream);
      const {isAvailable, maxRecords, intervalMillis} = behaviour;
      if (
        !isAvailable ||
        this.isStreamDown(stream, partition) ||
        this.faultState.logAvailability(host) !== 'answers'
      ) {
        const isSilent = this.faultState.logAvailability(host) === 'silent';
        listener.onFailure('out of reach', isSilent ? 'silent' : 'refused');
        this.timeline.after(READ_RETRY_MILLIS, read);
        return;
      }
      if (this.isStreamSlow(stream, partition)) {
        this.timeline.after(READ_TIMEOUT_MILLIS, () => {
          listener.onFailure('no answer', 'silent');
          this.timeline.after(READ_RETRY_MILLIS, read);
        });
        return;
      }
      const records = this.records(stream, partition);
      const from = nextOffset;
      nextOffset = Math.min(records.length, (from ?? Infinity) + maxRecords);
      listener.onRead({
        records:
          from === undefined
            ? snapshotOf(records)
            : records.slice(from, nextOffset),
        endOffset: nextOffset,
        logEndOffset: records.length,
        sentAt: this.timeline.now,
        isSnapshot: from === undefined,
      });
      this.timeline.after(intervalMillis, read);
    };
    this.timeline.after(READ_INTERVAL_MILLIS, read);
    return {
      stop: () => {
        isStopped = true;
      },
      readNow: () => undefined,
    };
  }
}

/** Returns the newest record of each key, without the deleted keys. */
export function snapshotOf(records: readonly StoredRecord[]): StoredRecord[] {
  const newest = new Map<string, StoredRecord>();
  for (const record of records) {
    newest.set(record.key, record);
  }
  return [...newest.values()].filter(({value}) => value.length > 0);
}
