import type {StateReader, Update} from '@samphireramp/kernel';
import type {Job, Resources} from '@samphireramp/jobs';

/** What client accounts may still start in one placement pass. */
export interface StartQuota {
  /** Of a number of tasks of an account, how many may start. */
  mostTasks(account: string, taskNeed: Resources, tasks: number): number;
  /**
   * When a number of tasks is expected to fit the limits of an account, on the
   * runtime's monotonic clock; undefined if no such time is known.
   */
  fitsAt(
    account: string,
    taskNeed: Resources,
    tasks: number,
    now: number,
  ): number | undefined;
  /** Counts tasks of an account that the pass has placed, or keeps the limits for. */
  take(account: string, taskNeed: Resources, tasks: number): void;
  /** Counts tasks no more that `take` has counted. */
  giveBack(account: string, taskNeed: Resources, tasks: number): void;
}

/**
 * A run that is done, from which run times are learnt. A run of a gang is told once, with
 * the first member that ended.
 */
export interface FinishedRun {
  readonly job: Job;
  /** Number of its step in the job. */
  readonly stepNumber: number;
  /** Incarnation of the worker. */
  readonly worker: string;
  /**
   * Time from the confirmation of its start to its end, in milliseconds; for a gang,
   * from that of the last member.
   */
  readonly ranMillis: number;
  /** Whether it resumed from a checkpoint, so that it did a part of the work. */
  readonly isResumed: boolean;
}

/** Functions that decide what placement doesn't decide itself. */
export interface PlacementFunctions {
  /** Creates the quota of one placement pass. */
  createStartQuota(state: StateReader): StartQuota;
  /**
   * How much later than it was received a job counts as arrived, in milliseconds,
   * since its account sends more than it is entitled to.
   */
  virtualDelayMillis(update: Update, job: Job): number;
  /** Expected run time of a task of a step on a worker of normal speed. */
  expectedMillis(state: StateReader, job: Job, stepNumber: number): number;
  /**
   * Speed of a worker, by its incarnation: 1 for a normal one, 2 for one on which runs
   * take half as long.
   */
  speedOf(update: Update, worker: string): number;
  /** Learns from a run that is done. */
  onRunFinished(update: Update, run: FinishedRun): void;
}

/** No limits, no delay, the estimates of callers, and nothing learnt. */
export const DEFAULT_PLACEMENT_FUNCTIONS: PlacementFunctions = {
  createStartQuota: () => ({
    mostTasks: (_account, _taskNeed, tasks) => tasks,
    fitsAt: (_account, _taskNeed, _tasks, now) => now,
    take: () => undefined,
    giveBack: () => undefined,
  }),
  virtualDelayMillis: () => 0,
  expectedMillis: (_state, job, stepNumber) =>
    job.steps[stepNumber].estimateMillis,
  speedOf: () => 1,
  onRunFinished: () => undefined,
};
