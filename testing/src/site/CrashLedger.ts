import {type RunId, taskKey} from '@samphireramp/jobs';

/** Number of crashes after which a task may start only a few times more. */
const TOLERATED_CRASHES = 3;
/** Starts after so many crashes that break the invariant. */
const EXCESS_STARTS = 3;
/** Number of crashes under a task after which its job may be shown as failed. */
const CRASHES_TO_FAIL = 2;

/** Counts the workers that crashed under each task, and what they led to. */
export class CrashLedger {
  /** Number of workers that a task crashed, by task key. */
  private readonly causedByTask = new Map<string, number>();
  /** Number of workers that crashed while they ran a task, by task key. */
  private readonly sufferedByTask = new Map<string, number>();
  /** Number of starts since a task crashed the third worker, by task key. */
  private readonly excessStartsByTask = new Map<string, number>();

  /** A run crashed its worker. */
  onCrashCaused(runId: RunId): void {
    increment(this.causedByTask, taskKey(runId));
  }

  /** A run vanished as its worker crashed. */
  onRunLost(runId: RunId): void {
    increment(this.sufferedByTask, taskKey(runId));
  }

  /** Counts a start; returns whether the task was started too often. */
  isStartExcessive(runId: RunId): boolean {
    const key = taskKey(runId);
    if ((this.causedByTask.get(key) ?? 0) < TOLERATED_CRASHES) {
      return false;
    }
    return increment(this.excessStartsByTask, key) >= EXCESS_STARTS;
  }

  /** Returns the number of workers that a job's tasks crashed. */
  countCaused(jobId: string): number {
    return [...this.causedByTask]
      .filter(([key]) => key.startsWith(`${jobId}.`))
      .reduce((sum, [, crashes]) => sum + crashes, 0);
  }

  /**
   * Whether a task may be given up: it crashes workers, and so many crashed while
   * they ran it.
   */
  mayBeGivenUp(key: string): boolean {
    const crashes = this.sufferedByTask.get(key) ?? 0;
    return this.causedByTask.has(key) && crashes >= CRASHES_TO_FAIL;
  }
}

/** Adds one to the count of a key, and returns it. */
function increment(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}
