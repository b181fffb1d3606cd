import type {ReportedEnd} from '@samphireramp/fleet';
import {type RunId, runKey, taskKey} from '@samphireramp/jobs';

/** Keeps which runs are done, which of these are acknowledged, and what began since. */
export class CompletionLedger {
  /** Tasks that a run has completed, acknowledged or not. */
  private readonly doneTasks = new Set<string>();
  /** Tasks whose completion a holder has acknowledged. */
  private readonly acknowledgedTasks = new Set<string>();
  /** Numbers of the runs that are done and not acknowledged, by task key. */
  private readonly unacknowledgedRuns = new Map<string, Set<number>>();
  /** Runs, by key, that were done when their task started again. */
  private readonly repeatedRuns = new Set<string>();

  /** Whether a run has completed the task. */
  isDone(key: string): boolean {
    return this.doneTasks.has(key);
  }

  /** A run was completed. */
  onDone(runId: RunId): void {
    const key = taskKey(runId);
    this.doneTasks.add(key);
    const runs = this.unacknowledgedRuns.get(key) ?? new Set();
    this.unacknowledgedRuns.set(key, runs.add(runId.run));
  }

  /** A run started. Returns whether the completion of its task was acknowledged. */
  onStart(runId: RunId): boolean {
    const key = taskKey(runId);
    for (const run of this.unacknowledgedRuns.get(key) ?? []) {
      this.repeatedRuns.add(runKey({...runId, run}));
    }
    return this.acknowledgedTasks.has(key);
  }

  /**
   * A completion was acknowledged, since which the lease of its worker has lapsed or
   * not. Returns whether its task started again in between, and must not have.
   */
  onAcknowledged({runId}: ReportedEnd, hasLapsed: boolean): boolean {
    const key = taskKey(runId);
    this.acknowledgedTasks.add(key);
    this.unacknowledgedRuns.get(key)?.delete(runId.run);
    return !hasLapsed && this.repeatedRuns.has(runKey(runId));
  }
}
