import type {RunOutcome, ReportedEnd, StartOrder} from '@samphireramp/fleet';
import {
  type Resources,
  type Job,
  type JobState,
  type RunId,
  type Step,
  occurrenceDueAt,
  reservedResources,
  taskKey,
} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import {CompletionLedger} from './CompletionLedger';
import {FailureLedger} from './FailureLedger';
import {CrashLedger} from './CrashLedger';
import {fits} from './ModelCapacity';
import type {ModelWorker} from './ModelWorker';
import {QuotaLedger} from './QuotaLedger';

/** Once faults are over, no run may start later than this after a cancel. */
const CANCEL_LIMIT_MILLIS = 3000;
/** Bounds how long before its due time a task may start. */
const EARLY_START_TOLERANCE_MILLIS = 250;
/** Added to the bound for early starts if the wall clocks of hosts are stepped. */
const CLOCK_STEP_TOLERANCE_MILLIS = 5000;

/**
 * Invariants of the site, by the names that violations are reported under.
 *
 * - `LIMIT`: the runs on a worker never reserve more than its capacity once a
 *   run is started, and a capacity that has shrunk counts after a grace period.
 * - `TWICE`: a task has at most one run at a time, and none after a completion
 *   that is acknowledged then or later, unless its worker's lease lapsed between.
 * - `ORDER`: a task starts after its due time and the steps it depends on.
 * - `UNASKED`: runs belong to a submitted job that wasn't cancelled before, and
 *   get a checkpoint only if their step saves checkpoints.
 * - `BUDGET`: a task isn't retried beyond its maximum number of attempts, nor
 *   three times more after three workers have crashed under it.
 * - `QUOTA`: once a run of an account is started, its runs reserve no more than 1.1
 *   times its limit and that run, by the highest limit that may be in force.
 * - `ROUTE`: no worker runs more tasks of a step than the step allows.
 * - `GANG`: once faults are over, no gang member ends because the others didn't
 *   start in time.
 * - `MIXED`: a job that is shown was submitted, running only if a task has
 *   started, and completed only if all its tasks are done.
 * - `REFUSED`: nothing runs for a job whose submits were all refused.
 * - `LOST`: a job is shown as cancelled only if a caller cancelled it, and as
 *   failed only if a task used up its attempts, or crashes workers and two of
 *   them crashed under it.
 */
export type Invariant =
  | 'LIMIT'
  | 'TWICE'
  | 'ORDER'
  | 'UNASKED'
  | 'BUDGET'
  | 'QUOTA'
  | 'ROUTE'
  | 'GANG'
  | 'MIXED'
  | 'REFUSED'
  | 'LOST';

/** A job that callers submit, and the answers they received. */
export interface SubmittedJob {
  readonly job: Job;
  readonly maxAttempts: number;
  acceptedAt: number | undefined;
  /** Number of submits without an answer yet; each may still be accepted. */
  pendingSubmits: number;
  /** Whether every answered submit was refused. */
  isRefused: boolean;
  /** Whether any caller tried to cancel it, with or without an answer. */
  isCancelRequested: boolean;
  cancelledAt: number | undefined;
}

/** What a worker reserves with a new run, and what it may reserve. */
interface WorkerLoad {
  readonly reserved: Resources;
  /** The load must fit one of these: some may count for a while after a change. */
  readonly capacities: readonly Resources[];
}

/**
 * Records each violation of an invariant. The models report their events to it
 * and use it to coordinate the members of a gang on different workers.
 */
export class InvariantChecker {
  readonly violations: string[] = [];
  readonly jobs = new Map<string, SubmittedJob>();
  readonly crashes = new CrashLedger();
  readonly quotas: QuotaLedger;
  /** All workers of the site; set once they are created. */
  workers: readonly ModelWorker[] = [];
  /** Whether faults have been absent for long enough that time limits apply. */
  areFaultsOver = () => false;
  /** Whether injected faults step the wall clocks of hosts. */
  hasClockSteps = false;
  /** Workers that run a task, by task key. */
  private readonly workerByTask = new Map<string, string>();
  private readonly completions = new CompletionLedger();
  private readonly failures = new FailureLedger();
  /** Number of started runs, by job id. */
  private readonly startsByJob = new Map<string, number>();

  constructor(private readonly timeline: Timeline) {
    this.quotas = new QuotaLedger(timeline);
  }

  /** Records a violation with the current time. */
  reportViolation(invariant: Invariant, detail: string): void {
    this.violations.push(
      `${Math.round(this.timeline.now)} ${invariant}: ${detail}`,
    );
  }

  /**
   * Returns the entry of a job, which the first call creates. Must be called
   * before a caller submits the job.
   */
  registerJob(job: Job): SubmittedJob {
    const submitted = this.jobs.get(job.id) ?? {
      job,
      maxAttempts: job.policy.maxAttempts,
      acceptedAt: undefined,
      pendingSubmits: 0,
      isRefused: true,
      isCancelRequested: false,
      cancelledAt: undefined,
    };
    this.jobs.set(job.id, submitted);
    return submitted;
  }

  /** Returns the number of runs started for a job. */
  countStarts(jobId: string): number {
    return this.startsByJob.get(jobId) ?? 0;
  }

  /** A worker accepted an order to start a run. */
  onStart(
    {runId, checkpoint}: StartOrder,
    worker: string,
    step: Step,
    load: WorkerLoad,
  ): void {
    const key = taskKey(runId);
    this.startsByJob.set(runId.jobId, this.countStarts(runId.jobId) + 1);
    if (!load.capacities.some(capacity => fits(load.reserved, capacity))) {
      this.reportViolation('LIMIT', `${key} exceeds the capacity of ${worker}`);
    }
    if (this.workerByTask.has(key)) {
      const otherWorker = this.workerByTask.get(key);
      this.reportViolation(
        'TWICE',
        `${key} started on ${worker} while it runs on ${otherWorker}`,
      );
    }
    if (this.completions.onStart(runId)) {
      this.reportViolation(
        'TWICE',
        `${key} started on ${worker} after its acknowledged completion`,
      );
    }
    if (checkpoint !== '' && !step.savesCheckpoints) {
      this.reportViolation('UNASKED', `${key} got a checkpoint but saves none`);
    }
    this.workerByTask.set(key, worker);
    const account = this.jobs.get(runId.jobId)?.job.account ?? '';
    this.quotas
      .onStart(runId, worker, {account, reserved: reservedResources(step)})
      .forEach(detail => this.reportViolation('QUOTA', detail));
    const submitted = this.jobs.get(runId.jobId);
    if (submitted === undefined) {
      this.reportViolation('UNASKED', `${key} belongs to no submitted job`);
    } else {
      this.checkAgainstJob(submitted, runId, key);
    }
    const runningOnWorker = [...this.workerByTask].filter(
      ([otherKey, otherWorker]) =>
        otherWorker === worker && isSameStep(otherKey, key),
    );
    if (
      step.mostOnOneWorker > 0 &&
      runningOnWorker.length > step.mostOnOneWorker
    ) {
      this.reportViolation(
        'ROUTE',
        `${key} is one of ${runningOnWorker.length} tasks on ${worker}`,
      );
    }
  }

  /** Checks a start against the state of its job and its earlier runs. */
  private checkAgainstJob(
    submitted: SubmittedJob,
    runId: RunId,
    key: string,
  ): void {
    const {job, cancelledAt, isRefused, pendingSubmits, maxAttempts} =
      submitted;
    if (isRefused && pendingSubmits === 0) {
      this.reportViolation('REFUSED', key);
    }
    const isAfterCancel =
      cancelledAt !== undefined &&
      this.timeline.now - cancelledAt > CANCEL_LIMIT_MILLIS;
    if (isAfterCancel && this.areFaultsOver()) {
      this.reportViolation(
        'UNASKED',
        `${key} started after its job was cancelled`,
      );
    }
    const toleranceMillis =
      EARLY_START_TOLERANCE_MILLIS +
      (this.hasClockSteps ? CLOCK_STEP_TOLERANCE_MILLIS : 0);
    if (
      this.timeline.now <
      occurrenceDueAt(job, runId.occurrence) - toleranceMillis
    ) {
      this.reportViolation('ORDER', `${key} started before its due time`);
    }
    const prefix = `${runId.jobId}.${runId.occurrence}`;
    for (const dependency of job.steps[runId.step].after) {
      for (let index = 0; index < job.steps[dependency].count; index++) {
        if (!this.completions.isDone(`${prefix}.${dependency}.${index}`)) {
          this.reportViolation(
            'ORDER',
            `${key} started before ${prefix}.${dependency}.${index} was done`,
          );
        }
      }
    }
    if (this.failures.countAcknowledged(key) >= maxAttempts) {
      this.reportViolation(
        'BUDGET',
        `${key} started after ${maxAttempts} failed runs`,
      );
    }
    if (this.crashes.isStartExcessive(runId)) {
      this.reportViolation(
        'BUDGET',
        `${key} started again and again after it crashed three workers`,
      );
    }
  }

  /** A run ended on a worker; the holder may not know it yet. */
  onEnd(runId: RunId, worker: string, outcome: RunOutcome): void {
    this.quotas.onEnd(runId, worker);
    const key = taskKey(runId);
    if (this.workerByTask.get(key) === worker) {
      this.workerByTask.delete(key);
    }
    if (outcome === 'done') {
      this.completions.onDone(runId);
    }
    if (outcome === 'alone' && this.areFaultsOver()) {
      this.reportViolation('GANG', key);
    }
  }

  /**
   * A holder acknowledged the end of a run to the worker, whose lease has lapsed or
   * not since then.
   */
  onEndAcknowledged(end: ReportedEnd, hasLapsed: boolean): void {
    const {runId, outcome} = end;
    const key = taskKey(runId);
    if (outcome === 'done' && this.completions.onAcknowledged(end, hasLapsed)) {
      this.reportViolation(
        'TWICE',
        `${key} started again after a completion that is acknowledged later`,
      );
    }
    this.failures.onAcknowledged(end);
  }

  /** A worker told a host of an end. */
  onEndListed(end: ReportedEnd): void {
    this.failures.onListed(end);
  }

  /** A run vanished because its worker restarted; it reports no end. */
  onRunLost(runId: RunId, worker: string): void {
    this.quotas.onEnd(runId, worker);
    this.crashes.onRunLost(runId);
    if (this.workerByTask.get(taskKey(runId)) === worker) {
      this.workerByTask.delete(taskKey(runId));
    }
  }

  /** A host reported the state of a job to a caller. */
  onStateShown(jobId: string, state: JobState): void {
    const submitted = this.jobs.get(jobId);
    if (submitted === undefined) {
      this.reportViolation(
        'MIXED',
        `${jobId} is shown but was never submitted`,
      );
      return;
    }
    if (state === 'cancelled' && !submitted.isCancelRequested) {
      this.reportViolation(
        'LOST',
        `${jobId} is shown as cancelled, but no caller cancelled it`,
      );
    }
    if (state === 'running' && this.countStarts(jobId) === 0) {
      this.reportViolation(
        'MIXED',
        `${jobId} is shown as running, but no task has started`,
      );
    }
    if (state === 'completed') {
      for (const key of this.taskKeysOf(submitted.job)) {
        if (!this.completions.isDone(key)) {
          this.reportViolation(
            'MIXED',
            `${jobId} is shown as completed, but ${key} isn't done`,
          );
        }
      }
    }
    if (state === 'failed' && !this.hasCauseToFail(submitted)) {
      this.reportViolation(
        'LOST',
        `${jobId} is shown as failed, but no task had cause to fail it`,
      );
    }
  }

  /**
   * Whether a task or gang of the job failed in all its attempts, or a task that
   * crashes workers ran on two that crashed.
   */
  private hasCauseToFail({job, maxAttempts}: SubmittedJob): boolean {
    return this.taskKeysOf(job).some(key => {
      if (this.crashes.mayBeGivenUp(key)) {
        return true;
      }
      const [, , step] = key.split('.');
      // A run of a gang counts once even if several members failed.
      const keys = job.steps[Number(step)].isGang
        ? this.taskKeysOf(job).filter(each => isSameStep(each, key))
        : [key];
      return this.failures.countListed(keys) >= maxAttempts;
    });
  }

  /** Returns the keys of all tasks of all occurrences of a job. */
  private taskKeysOf(job: Job): string[] {
    const keys: string[] = [];
    for (let occurrence = 0; occurrence < job.occurrences; occurrence++) {
      job.steps.forEach((step, stepIndex) => {
        for (let index = 0; index < step.count; index++) {
          keys.push(`${job.id}.${occurrence}.${stepIndex}.${index}`);
        }
      });
    }
    return keys;
  }

  /** Counts the members of a gang's run over all workers. */
  countGang(runId: RunId): number {
    return this.workers.reduce((sum, each) => sum + each.countGang(runId), 0);
  }

  /** Lets the members of a gang's run begin their work, on all workers. */
  beginGang(runId: RunId): void {
    this.workers.forEach(worker => worker.beginGang(runId));
  }

  /** Ends the members of a gang's run on all workers. */
  endGang(runId: RunId, outcome: RunOutcome): void {
    this.workers.forEach(worker => worker.endGang(runId, outcome));
  }
}

/** Whether two task keys differ only in the index of the task in its step. */
function isSameStep(a: string, b: string): boolean {
  return a.slice(0, a.lastIndexOf('.')) === b.slice(0, b.lastIndexOf('.'));
}
