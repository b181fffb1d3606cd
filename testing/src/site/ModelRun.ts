import type {RunId, Step} from '@samphireramp/jobs';

/** Behaviour of a task when it runs. */
export interface TaskScript {
  readonly step: Step;
  /** Time that the work takes without a checkpoint to start from. */
  readonly workMillis: number;
  /** Time from the start of a run until it crashes its worker, if it does. */
  readonly crashMillis?: number | undefined;
  /** Whether the run with this number fails. */
  fails(run: number): boolean;
}

/** A run on a model worker. */
export interface ModelRun {
  readonly runId: RunId;
  readonly script: TaskScript;
  readonly startedAt: number;
  /** Work that was done up to the checkpoint that the run started from. */
  readonly resumedMillis: number;
  /** Checkpoint that the run started from; empty for none. */
  readonly checkpoint: string;
  /** Undefined while a gang member waits for the others. */
  workStartedAt: number | undefined;
  isStopping: boolean;
  hasEnded: boolean;
}

/** Whether two runs are members of the same run of a gang. */
export function isSameGangRun(a: RunId, b: RunId): boolean {
  return (
    a.jobId === b.jobId &&
    a.occurrence === b.occurrence &&
    a.step === b.step &&
    a.run === b.run
  );
}
