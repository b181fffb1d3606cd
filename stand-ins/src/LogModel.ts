import type {LogPage, LogRecord} from '@samphireramp/model';

/** Records of one page at the most. */
const PAGE_RECORDS = 500;

/** How the log behaves for a while. */
export interface LogFaults {
  readonly isDown: boolean;
  readonly delayMillis: number;
  /** Every so many appends, the answer is lost after it took effect. */
  readonly losesEvery: number;
}

/** A log with nothing wrong. */
export const NO_FAULTS: LogFaults = {
  isDown: false,
  delayMillis: 0,
  losesEvery: 0,
};

/** The platform's log, as a model without transport or timers. */
export class LogModel {
  faults = NO_FAULTS;
  appends = 0;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly oldest = new Map<string, number>();
  private readonly waiting = new Map<string, Set<() => void>>();

  constructor(
    private readonly wallClock: () => number,
    private readonly retentionMillis: number,
  ) {}

  /** Appends a record; returns its offset. */
  append(stream: string, body: unknown): number {
    this.appends++;
    const records = this.recordsOf(stream);
    const last = records[records.length - 1];
    const offset = last ? last.offset + 1 : (this.oldest.get(stream) ?? 0);
    records.push({offset, appendedAt: this.wallClock(), body});
    this.waiting.get(stream)?.forEach(wake => wake());
    this.waiting.delete(stream);
    return offset;
  }

  /** Whether the answer to the latest append is to be lost. */
  losesAnswer(): boolean {
    const {losesEvery} = this.faults;
    return losesEvery > 0 && this.appends % losesEvery === 0;
  }

  /** Reads records from an offset on. */
  read(stream: string, from: number): LogPage {
    this.dropExpired(stream);
    const records = this.recordsOf(stream);
    const page = records
      .filter(record => record.offset >= from)
      .slice(0, PAGE_RECORDS);
    const last = page[page.length - 1];
    const oldest = this.oldest.get(stream) ?? 0;
    return {
      records: page,
      next: last ? last.offset + 1 : Math.max(from, oldest),
      oldest,
    };
  }

  /** Calls `wake` once when the stream gets a record; returns the way back. */
  onAppend(stream: string, wake: () => void): () => void {
    const wakes = this.waiting.get(stream) ?? new Set();
    wakes.add(wake);
    this.waiting.set(stream, wakes);
    return () => wakes.delete(wake);
  }

  private dropExpired(stream: string): void {
    const records = this.recordsOf(stream);
    const cutoff = this.wallClock() - this.retentionMillis;
    while (records.length > 0 && records[0].appendedAt < cutoff) {
      this.oldest.set(stream, records[0].offset + 1);
      records.shift();
    }
  }

  private recordsOf(stream: string): LogRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }
}
