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

const APPEND_MILLIS = 4;
const READ_POLL_MILLIS = 3;
const READ_RETRY_MILLIS = 100;

/** Tells which faults hit each call to the log. */
export interface LogFaultState {
  /** Whether a host's calls are answered, refused or never answered. */
  reach(host: string): 'answers' | 'refuses' | 'silent';
  /** Whether the answer to an append is lost; the append itself is executed. */
  losesAppendAnswer(): boolean;
  /** Additional milliseconds for an append; can exceed the caller's timeout. */
  delayMillis(): number;
}

/** An in-memory log; followers first receive the newest record of each key. */
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

  /** Returns the log client of one host, which is subject to faults. */
  createStreamLog(host: string, isAlive: () => boolean): StreamLog {
    return {
      partitions: this.partitionCount,
      append: request => this.append(host, request),
      follow: (options, listener) =>
        this.follow(host, isAlive, options, listener),
    };
  }

  /** Milliseconds that a partition takes for its next append to `requests`. */
  requestAppendMillis: (partition: number) => number = () => APPEND_MILLIS;

  private append(host: string, request: AppendRequest): Promise<AppendOutcome> {
    const {timeline, faultState} = this;
    return new Promise(resolve => {
      const reach = faultState.reach(host);
      if (reach === 'refuses') {
        timeline.after(1, () => resolve({kind: 'refused', detail: 'busy'}));
        return;
      }
      const resolveUnknown = () =>
        resolve({kind: 'unknown', detail: 'no answer'});
      if (reach === 'silent') {
        timeline.after(request.timeoutMillis, resolveUnknown);
        return;
      }
      const isAnswerLost = faultState.losesAppendAnswer();
      const appendMillis =
        request.stream === 'requests'
          ? this.requestAppendMillis(request.partition)
          : APPEND_MILLIS;
      const delayMillis = appendMillis + faultState.delayMillis();
      timeline.after(delayMillis, () => {
        const outcome = this.applyAppend(request);
        if (!isAnswerLost) {
          timeline.after(1, () => resolve(outcome));
        }
      });
      timeline.after(request.timeoutMillis, resolveUnknown);
    });
  }

  /** Appends unless the partition's end differs from `expectedEnd`. */
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
      if (this.faultState.reach(host) !== 'answers') {
        listener.onFailure('out of reach');
        this.timeline.after(READ_RETRY_MILLIS, read);
        return;
      }
      const records = this.records(stream, partition);
      if (nextOffset === undefined) {
        nextOffset = records.length;
        listener.onRecords(newestOf(records), nextOffset, true);
      } else {
        const newRecords = records.slice(nextOffset);
        nextOffset = records.length;
        listener.onRecords(newRecords, nextOffset, false);
      }
      this.timeline.after(READ_POLL_MILLIS, read);
    };
    this.timeline.after(READ_POLL_MILLIS, read);
    return {
      stop: () => {
        isStopped = true;
      },
      readNow: () => undefined,
    };
  }
}

/** Returns the newest record of each key; an empty value deletes its key. */
export function newestOf(records: readonly StoredRecord[]): StoredRecord[] {
  const newest = new Map<string, StoredRecord>();
  for (const record of records) {
    newest.set(record.key, record);
  }
  return [...newest.values()].filter(({value}) => value.length > 0);
}
