import type {ReportedEnd} from '@samphireramp/fleet';
import {type RunId, taskKey} from '@samphireramp/jobs';

/** Keeps which runs of each task ended as failed, as far as hosts were told. */
export class FailureLedger {
  /** Numbers of the runs that workers have listed as failed, by task key. */
  private readonly listedRuns = new Map<string, Set<number>>();
  /** Numbers of those whose end is acknowledged, by task key. */
  private readonly acknowledgedRuns = new Map<string, Set<number>>();

  /** A worker told a host of an end, which no host may ever acknowledge. */
  onListed({runId, outcome}: ReportedEnd): void {
    if (outcome === 'failed') {
      addRun(this.listedRuns, runId);
    }
  }

  /** A host acknowledged an end. */
  onAcknowledged({runId, outcome}: ReportedEnd): void {
    if (outcome === 'failed') {
      addRun(this.acknowledgedRuns, runId);
    }
  }

  /** Number of runs of a task that ended as failed and are acknowledged. */
  countAcknowledged(key: string): number {
    return this.acknowledgedRuns.get(key)?.size ?? 0;
  }

  /** Number of different runs of these tasks that were listed as failed. */
  countListed(keys: readonly string[]): number {
    const runs = keys.flatMap(key => [...(this.listedRuns.get(key) ?? [])]);
    return new Set(runs).size;
  }
}

function addRun(runs: Map<string, Set<number>>, runId: RunId): void {
  const key = taskKey(runId);
  runs.set(key, (runs.get(key) ?? new Set()).add(runId.run));
}
