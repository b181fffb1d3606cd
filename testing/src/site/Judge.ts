import type {RunOutcome, ReportedEnd, StartOrder} from '@samphireramp/fleet';
import {
  type Resources,
  type Job,
  type JobState,
  type RunId,
  type Step,
  dueAt,
  taskKey,
} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelWorker} from './ModelWorker';

/** Callers' cancels must be obeyed within this time in calm weather. */
const CANCEL_MILLIS = 3000;
/** Starts may be this early ... */
const EARLY_MILLIS = 250;
/** ... and this much more where clocks jump. */
const CLOCK_JUMP_MILLIS = 5000;

/** Promises that the models watch over. */
export type Rule =
  | 'LIMIT'
  | 'TWICE'
  | 'ORDER'
  | 'UNASKED'
  | 'BUDGET'
  | 'ROUTE'
  | 'GANG'
  | 'MIXED'
  | 'REFUSED'
  | 'LOST';

/** A job that callers hand in, and what came of it. */
export interface SubmittedJob {
  readonly job: Job;
  readonly maxAttempts: number;
  acceptedAt: number | undefined;
  /** Tries to hand it in that may still come to something. */
  openTries: number;
  /** Whether every try that has ended was refused. */
  isRefused: boolean;
  /** Whether anybody asked for its cancelling. */
  isCancelAsked: boolean;
  cancelledAt: number | undefined;
}

/** Sees what the models see, and notes each broken promise. */
export class InvariantChecker {
  readonly violations: string[] = [];
  readonly jobs = new Map<string, SubmittedJob>();
  workers: readonly ModelWorker[] = [];
  /** Whether faults have been absent long enough for bounds in time. */
  isCalm = () => false;
  /** Whether times of day of hosts jump. */
  clocksJump = false;
  private readonly running = new Map<string, string>();
  private readonly doneTasks = new Set<string>();
  private readonly notedDone = new Set<string>();
  private readonly failures = new Map<string, Set<number>>();
  private readonly starts = new Map<string, number>();

  constructor(private readonly queue: Timeline) {}

  reportViolation(rule: Rule, detail: string): void {
    this.violations.push(`${Math.round(this.queue.now)} ${rule}: ${detail}`);
  }

  /** A caller is about to hand a job in. */
  registerJob(job: Job): SubmittedJob {
    const known = this.jobs.get(job.id) ?? {
      job,
      maxAttempts: job.policy.maxAttempts,
      acceptedAt: undefined,
      openTries: 0,
      isRefused: true,
      isCancelAsked: false,
      cancelledAt: undefined,
    };
    this.jobs.set(job.id, known);
    return known;
  }

  /** How many runs were started of a job's tasks. */
  startsOf(jobId: string): number {
    return this.starts.get(jobId) ?? 0;
  }

  onStart(
    {runId: place, checkpoint}: StartOrder,
    worker: string,
    step: Step,
    load: {used: Resources; capacity: Resources; need: Resources},
  ): void {
    const key = taskKey(place);
    this.starts.set(place.jobId, this.startsOf(place.jobId) + 1);
    if (!fits(load)) {
      this.reportViolation('LIMIT', `${key} on ${worker}`);
    }
    if (this.running.has(key)) {
      const other = this.running.get(key);
      this.reportViolation('TWICE', `${key} on ${worker}, runs on ${other}`);
    }
    if (this.notedDone.has(key)) {
      this.reportViolation('TWICE', `${key} on ${worker} after its noted end`);
    }
    if (checkpoint !== '' && !step.savesCheckpoints) {
      this.reportViolation(
        'UNASKED',
        `${key} with a checkpoint of another task`,
      );
    }
    this.running.set(key, worker);
    const submitted = this.jobs.get(place.jobId);
    if (submitted === undefined) {
      this.reportViolation('UNASKED', `${key} of no job`);
    } else {
      this.checkJob(submitted, place, key);
    }
    const here = [...this.running].filter(
      ([other, where]) => where === worker && isSameStep(other, key),
    );
    if (step.mostOnOneWorker > 0 && here.length > step.mostOnOneWorker) {
      this.reportViolation(
        'ROUTE',
        `${key} is one of ${here.length} on ${worker}`,
      );
    }
  }

  private checkJob(submitted: SubmittedJob, place: RunId, key: string): void {
    const {job, cancelledAt, isRefused, openTries, maxAttempts} = submitted;
    if (isRefused && openTries === 0) {
      this.reportViolation('REFUSED', key);
    }
    const isLate =
      cancelledAt !== undefined && this.queue.now - cancelledAt > CANCEL_MILLIS;
    if (isLate && this.isCalm()) {
      this.reportViolation('UNASKED', `${key} started after its cancel`);
    }
    const early = EARLY_MILLIS + (this.clocksJump ? CLOCK_JUMP_MILLIS : 0);
    if (this.queue.now < dueAt(job, place.occurrence) - early) {
      this.reportViolation('ORDER', `${key} before its time`);
    }
    const prefix = `${place.jobId}.${place.occurrence}`;
    for (const before of job.steps[place.step].after) {
      for (let index = 0; index < job.steps[before].count; index++) {
        if (!this.doneTasks.has(`${prefix}.${before}.${index}`)) {
          this.reportViolation(
            'ORDER',
            `${key} before ${prefix}.${before}.${index}`,
          );
        }
      }
    }
    if ((this.failures.get(key)?.size ?? 0) >= maxAttempts) {
      this.reportViolation('BUDGET', `${key} after ${maxAttempts} failed runs`);
    }
  }

  onEnd(place: RunId, worker: string, how: RunOutcome): void {
    const key = taskKey(place);
    if (this.running.get(key) === worker) {
      this.running.delete(key);
    }
    if (how === 'done') {
      this.doneTasks.add(key);
    }
    if (how === 'alone' && this.isCalm()) {
      this.reportViolation('GANG', key);
    }
  }

  onNoted({runId: place, outcome: how}: ReportedEnd): void {
    const key = taskKey(place);
    if (how === 'done') {
      this.notedDone.add(key);
    }
    if (how === 'failed') {
      const runs = this.failures.get(key) ?? new Set();
      this.failures.set(key, runs.add(place.run));
    }
  }

  onGone(place: RunId, worker: string): void {
    if (this.running.get(taskKey(place)) === worker) {
      this.running.delete(taskKey(place));
    }
  }

  /** A caller was shown the state of a job. */
  onShown(jobId: string, state: JobState): void {
    const submitted = this.jobs.get(jobId);
    if (submitted === undefined) {
      this.reportViolation(
        'MIXED',
        `${jobId} is shown, and nobody handed it in`,
      );
      return;
    }
    if (state === 'cancelled' && !submitted.isCancelAsked) {
      this.reportViolation('LOST', `${jobId} is shown as cancelled`);
    }
    if (state === 'completed') {
      for (const key of this.tasksOf(submitted.job)) {
        if (!this.doneTasks.has(key)) {
          this.reportViolation('MIXED', `${jobId} is completed without ${key}`);
        }
      }
    }
    if (state === 'failed' && !this.hasFailed(submitted)) {
      this.reportViolation('LOST', `${jobId} is shown as failed`);
    }
  }

  private hasFailed({job, maxAttempts}: SubmittedJob): boolean {
    return this.tasksOf(job).some(key => {
      const [, occurrence, step] = key.split('.');
      const failed = job.steps[Number(step)].isGang
        ? this.gangFailures(job, occurrence, step)
        : (this.failures.get(key)?.size ?? 0);
      return failed >= maxAttempts;
    });
  }

  private gangFailures(job: Job, occurrence: string, step: string): number {
    const runs = new Set<number>();
    for (let index = 0; index < job.steps[Number(step)].count; index++) {
      const key = `${job.id}.${occurrence}.${step}.${index}`;
      this.failures.get(key)?.forEach(run => runs.add(run));
    }
    return runs.size;
  }

  private tasksOf(job: Job): string[] {
    const keys: string[] = [];
    for (let occurrence = 0; occurrence < job.occurrences; occurrence++) {
      job.steps.forEach((step, number) => {
        for (let index = 0; index < step.count; index++) {
          keys.push(`${job.id}.${occurrence}.${number}.${index}`);
        }
      });
    }
    return keys;
  }

  countGang(place: RunId): number {
    return this.workers.reduce((sum, each) => sum + each.countGang(place), 0);
  }

  beginGang(place: RunId): void {
    this.workers.forEach(worker => worker.beginGang(place));
  }

  endGang(place: RunId, how: RunOutcome): void {
    this.workers.forEach(worker => worker.endGang(place, how));
  }
}

function fits(load: {
  used: Resources;
  capacity: Resources;
  need: Resources;
}): boolean {
  const {used, capacity, need} = load;
  return (
    used.cpuMillis + need.cpuMillis <= capacity.cpuMillis &&
    used.memoryMegabytes + need.memoryMegabytes <= capacity.memoryMegabytes &&
    used.accelerators + need.accelerators <= capacity.accelerators
  );
}

function isSameStep(a: string, b: string): boolean {
  return a.slice(0, a.lastIndexOf('.')) === b.slice(0, b.lastIndexOf('.'));
}
