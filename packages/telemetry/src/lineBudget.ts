/** Options of `createLineBudget`. */
export interface LineBudgetOptions {
  /** Maximum lines in each window. */
  readonly maxLines: number;
  readonly windowMillis: number;
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
}

/**
 * Creates a function that counts a line and returns whether it may be logged: events
 * that clients cause may come without pause.
 */
export function createLineBudget({
  maxLines,
  windowMillis,
  now,
}: LineBudgetOptions): () => boolean {
  let windowStartedAt = -Infinity;
  let linesInWindow = 0;
  return () => {
    if (now() - windowStartedAt >= windowMillis) {
      windowStartedAt = now();
      linesInWindow = 0;
    }
    linesInWindow++;
    return linesInWindow <= maxLines;
  };
}
