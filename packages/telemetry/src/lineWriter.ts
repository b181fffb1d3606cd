/** What a line writer is given. */
export interface LineWriterOptions {
  /** Writes text without waiting. */
  readonly write: (text: string) => void;
  /** Bytes that were written and not yet taken by the reader. */
  readonly backlogBytes: () => number;
  /** Lines a second that are written at the most; the rest is counted. */
  readonly linesPerSecond: number;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly now: () => number;
}

/** Writes lines in batches, within bounds. */
export interface LineWriter {
  line(text: string): void;
  /** Writes what was gathered; the timer and the end of the program call it. */
  flush(): void;
  /** Lines that were left out since the start. */
  leftOut(): number;
}

const SECOND_MILLIS = 1000;
/** A reader that is this far behind gets nothing more for now. */
const MOST_BACKLOG_BYTES = 262_144;

/** Creates a writer that drops lines sooner than it waits or floods. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {write, backlogBytes, linesPerSecond, now} = options;
  let gathered: string[] = [];
  let left = linesPerSecond;
  let countedAt = now();
  let total = 0;
  let unreported = 0;

  function refill(): void {
    const passed = (now() - countedAt) / SECOND_MILLIS;
    countedAt = now();
    left = Math.min(linesPerSecond, left + passed * linesPerSecond);
  }

  return {
    line: text => {
      refill();
      if (left < 1 || backlogBytes() > MOST_BACKLOG_BYTES) {
        total++;
        unreported++;
        return;
      }
      left--;
      gathered.push(text);
    },
    flush: () => {
      if (backlogBytes() > MOST_BACKLOG_BYTES) {
        return;
      }
      if (unreported > 0 && left >= 1) {
        gathered.push(`event=log-lines-left-out count=${unreported}`);
        unreported = 0;
      }
      if (gathered.length > 0) {
        write(`${gathered.join('\n')}\n`);
        gathered = [];
      }
    },
    leftOut: () => total,
  };
}
