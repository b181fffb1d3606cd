/** Time that turns take before the loop sees to everything else. */
const MAX_TURNS_MILLIS = 5;

/** Options of `createTurnQueue`. */
export interface TurnQueueOptions {
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
  /** Calls a function once the loop has seen to everything else. */
  readonly defer: (callback: () => void) => void;
}

/** Lets short pieces of work take turns on the loop, in order of arrival. */
export interface TurnQueue {
  add(turn: () => void): void;
}

/** Creates a queue of turns. */
export function createTurnQueue({now, defer}: TurnQueueOptions): TurnQueue {
  const turns: Array<() => void> = [];
  let isScheduled = false;

  function schedule(): void {
    isScheduled = true;
    defer(run);
  }

  function run(): void {
    isScheduled = false;
    const endsAt = now() + MAX_TURNS_MILLIS;
    do {
      turns.shift()?.();
    } while (turns.length > 0 && now() < endsAt);
    if (turns.length > 0 && !isScheduled) {
      schedule();
    }
  }

  return {
    add: turn => {
      turns.push(turn);
      if (!isScheduled) {
        schedule();
      }
    },
  };
}
