/** Options of `createLineWriter`. */
export interface LineWriterOptions {
  /** Writes text without blocking. */
  readonly write: (text: string) => void;
  /** Bytes that were written and that the reader has not yet consumed. */
  readonly backlogBytes: () => number;
  /** Rate limit; lines beyond it are dropped and counted. */
  readonly linesPerSecond: number;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly now: () => number;
}

/** Writes lines in batches, with a bounded rate and backlog. */
export interface LineWriter {
  /** Buffers a line for the next flush, or drops it. */
  line(text: string): void;
  /**
   * Writes the buffered lines, unless the backlog is above its limit; to be called
   * by a timer and on exit.
   */
  flush(): void;
  /** Number of lines dropped since the start. */
  droppedLines(): number;
}

const MILLIS_PER_SECOND = 1000;
/** Above this backlog, nothing is written and new lines are dropped. */
const MAX_BACKLOG_BYTES = 262_144;

/** Creates a writer that drops lines instead of blocking or exceeding its rate. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {write, backlogBytes, linesPerSecond, now} = options;
  let bufferedLines: string[] = [];
  /** Token bucket of the rate limit: each buffered line takes a token. */
  let tokens = linesPerSecond;
  let refilledAt = now();
  let droppedTotal = 0;
  let droppedSinceReport = 0;

  function refillTokens(): void {
    const elapsedSeconds = (now() - refilledAt) / MILLIS_PER_SECOND;
    refilledAt = now();
    tokens = Math.min(linesPerSecond, tokens + elapsedSeconds * linesPerSecond);
  }

  return {
    line: text => {
      refillTokens();
      if (tokens < 1 || backlogBytes() > MAX_BACKLOG_BYTES) {
        droppedTotal++;
        droppedSinceReport++;
        return;
      }
      tokens--;
      bufferedLines.push(text);
    },
    flush: () => {
      if (backlogBytes() > MAX_BACKLOG_BYTES) {
        return;
      }
      if (droppedSinceReport > 0 && tokens >= 1) {
        bufferedLines.push(
          `event=log-lines-left-out count=${droppedSinceReport}`,
        );
        droppedSinceReport = 0;
      }
      if (bufferedLines.length > 0) {
        write(`${bufferedLines.join('\n')}\n`);
        bufferedLines = [];
      }
    },
    droppedLines: () => droppedTotal,
  };
}
