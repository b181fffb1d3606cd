import type {PlacementScope} from '@samphireramp/dispatch';

/** Delay before a placement pass, so that one pass handles several changes. */
const MIN_DELAY_MILLIS = 2;
/**
 * Minimum pause between two passes of one scope, as a multiple of the duration of
 * the first; bounds the share of the loop's time that placement takes.
 */
const REST_FACTOR = 4;
/**
 * Minimum pause after a pass that took less: short against the time in which urgent jobs
 * are due, and long enough for one pass to handle what many answers have changed.
 */
const MIN_REST_MILLIS = 15;

/** Options of `createPlacementTimer`. */
export interface PlacementTimerOptions {
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
  /** Calls a function after some milliseconds. */
  readonly delay: (callback: () => void, millis: number) => void;
  /** Runs a pass to its end. */
  readonly runPass: (scope: PlacementScope) => void;
}

/**
 * Creates the function that schedules placement passes. A pass over the urgent
 * steps is short, so that it need not rest as long as one over all steps; it is
 * left out if one over all steps comes no later.
 */
export function createPlacementTimer({
  now,
  delay,
  runPass,
}: PlacementTimerOptions): (scope: PlacementScope) => void {
  /** Earliest time of the next pass, by scope. */
  const restUntil = {all: -Infinity, urgent: -Infinity};
  /** When the scheduled pass begins, by scope; Infinity if none is scheduled. */
  const dueAt = {all: Infinity, urgent: Infinity};

  function run(scope: PlacementScope): void {
    const startedAt = now();
    dueAt[scope] = Infinity;
    runPass(scope);
    const endedAt = now();
    const restMillis = (endedAt - startedAt) * REST_FACTOR;
    restUntil[scope] = endedAt + Math.max(MIN_REST_MILLIS, restMillis);
  }

  return scope => {
    const startAt = Math.max(now() + MIN_DELAY_MILLIS, restUntil[scope]);
    const isIncluded = scope === 'urgent' && dueAt.all <= startAt;
    if (dueAt[scope] !== Infinity || isIncluded) {
      return;
    }
    dueAt[scope] = startAt;
    delay(() => run(scope), startAt - now());
  };
}
