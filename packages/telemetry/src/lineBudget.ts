/** Maximum log lines in each interval of `WINDOW_MILLIS`. */
const MAX_LINES_PER_WINDOW = 10;
const WINDOW_MILLIS = 1000;

/**
 * Creates a function that counts a line and returns whether it may be logged: events
 * that clients cause may come without pause. `now` is the monotonic clock.
 */
export function createLineBudget(now: () => number): () => boolean {
  let windowStartedAt = -Infinity;
  let linesInWindow = 0;
  return () => {
    if (now() - windowStartedAt >= WINDOW_MILLIS) {
      windowStartedAt = now();
      linesInWindow = 0;
    }
    linesInWindow++;
    return linesInWindow <= MAX_LINES_PER_WINDOW;
  };
}
