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
const RETRY_MILLIS = 100;

/** How the log behaves just now, for each call. */
export interface LogFaultState {
  /** Whether a host's calls are answered, refused or met by silence. */
  reach(host: string): 'answers' | 'refuses' | 'silent';
  /** Whether the answer to an append is lost though it is done. */
  losesAnswer(): boolean;
  /** Milliseconds after which an append is done; lost ones may be late. */
  delayMillis(): number;
}

/** A log in memory that keeps the newest record of each key. */
export class ModelLog {
  private readonly partitions = new Map<string, StoredRecord[]>();

  constructor(
    private readonly queue: Timeline,
    private readonly weather: LogFaultState,
    readonly partitionCount: number,
  ) {}

  /** All records of a partition, in order. */
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

  /** Writes past all faults, as operators and workers do. */
  put(stream: StreamName, key: string, value: Buffer): void {
    const records = this.records(stream, 0);
    records.push({key, value, offset: records.length});
  }

  /** The log as one host reaches it. */
  viewOf(host: string, isAlive: () => boolean): StreamLog {
    return {
      partitions: this.partitionCount,
      append: request => this.append(host, request),
      follow: (options, listener) =>
        this.follow(host, isAlive, options, listener),
    };
  }

  /** Milliseconds that a partition takes for the next append of requests. */
  serve: (partition: number) => number = () => APPEND_MILLIS;

  private append(host: string, request: AppendRequest): Promise<AppendOutcome> {
    const {queue, weather} = this;
    return new Promise(resolve => {
      const reach = weather.reach(host);
      if (reach === 'refuses') {
        queue.after(1, () => resolve({kind: 'refused', detail: 'busy'}));
        return;
      }
      const giveUp = () => resolve({kind: 'unknown', detail: 'no answer'});
      if (reach === 'silent') {
        queue.after(request.timeoutMillis, giveUp);
        return;
      }
      const isLost = weather.losesAnswer();
      const own =
        request.stream === 'requests'
          ? this.serve(request.partition)
          : APPEND_MILLIS;
      const delay = own + weather.delayMillis();
      queue.after(delay, () => {
        const outcome = this.carryOut(request);
        if (!isLost) {
          queue.after(1, () => resolve(outcome));
        }
      });
      queue.after(request.timeoutMillis, giveUp);
    });
  }

  /** Appends if the condition holds. */
  carryOut(request: Omit<AppendRequest, 'timeoutMillis'>): AppendOutcome {
    const {stream, partition, expectedEnd: at} = request;
    const records = this.records(stream, partition);
    if (at !== undefined && at !== records.length) {
      return {kind: 'conflict', end: records.length};
    }
    const offset = records.length;
    for (const record of request.records) {
      records.push({...record, offset: records.length});
    }
    return {kind: 'appended', offset, end: records.length};
  }

  private follow(
    host: string,
    isAlive: () => boolean,
    {stream, partition}: FollowOptions,
    listener: StreamListener,
  ): FollowHandle {
    let isStopped = false;
    let from: number | undefined;
    const read = () => {
      if (isStopped || !isAlive()) {
        return;
      }
      if (this.weather.reach(host) !== 'answers') {
        listener.onFailure('out of reach');
        this.queue.after(RETRY_MILLIS, read);
        return;
      }
      const records = this.records(stream, partition);
      if (from === undefined) {
        from = records.length;
        listener.onRecords(newestOf(records), from, true);
      } else {
        const fresh = records.slice(from);
        from = records.length;
        listener.onRecords(fresh, from, false);
      }
      this.queue.after(READ_POLL_MILLIS, read);
    };
    this.queue.after(READ_POLL_MILLIS, read);
    return {
      stop: () => {
        isStopped = true;
      },
      readNow: () => undefined,
    };
  }
}

/** The newest record of each key that was not dropped. */
export function newestOf(records: readonly StoredRecord[]): StoredRecord[] {
  const newest = new Map<string, StoredRecord>();
  for (const record of records) {
    newest.set(record.key, record);
  }
  return [...newest.values()].filter(({value}) => value.length > 0);
}
