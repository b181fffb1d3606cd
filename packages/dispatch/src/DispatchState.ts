import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
  createTableSlice,
} from '@samphireramp/kernel';
import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import {recordProgress} from '@samphireramp/holding';
import {
  type Job,
  type Progress,
  type QueuePolicy,
  type Step,
  isFinalState,
  criticalPathMillis,
} from '@samphireramp/jobs';

/** A job and its progress. */
export interface JobRow {
  readonly job: Job;
  readonly progress: Progress;
  /** Wall-clock milliseconds by which the job should be completed. */
  readonly objectiveAt: number;
  /** How much later than it was received it counts as arrived, in milliseconds. */
  readonly virtualDelayMillis: number;
}

const ACTIVE = 'active';

/** Jobs by id, with an index of those that are not over. */
export const JOBS = createIndexedTableSlice<JobRow>('jobs', row =>
  isFinalState(row.progress.state) ? undefined : ACTIVE,
);

/**
 * By the id of a job, the accounts whose cancels of it were read; undefined stands for
 * a caller of a site without accounts. A cancel may be read before its job.
 */
export const CANCELLED_JOBS =
  createTableSlice<ReadonlySet<string | undefined>>('cancelled');

/** When this holder first saw that a job is over, by job id; monotonic clock. */
export const END_SEEN_AT = createTableSlice<number>('end-seen-at');

/**
 * For each partition that this holder has read to its end: the time, on the
 * runtime's monotonic clock, until which it knows all requests in it.
 */
export const PARTITIONS_READ = createTableSlice<number>('partitions-read');

/** Lists the jobs that are not over. */
export function listActiveJobs(state: StateReader): JobRow[] {
  return state.read(JOBS).withKey(ACTIVE);
}

/**
 * Returns the configured policy of a job's queue, or the policy stored with the
 * job if the queue is not configured any more.
 */
export function policyOf(state: StateReader, job: Job): QueuePolicy {
  const configuration = state.read(SITE_CONFIGURATION).get();
  const route = configuration?.routes.find(
    ({policy}) => policy.name === job.policy.name,
  );
  return route?.policy ?? job.policy;
}

/** Creates the row of a job, with its objective. */
export function newJobRow(
  job: Job,
  progress: Progress,
  virtualDelayMillis: number,
): JobRow {
  const {stretch, targetMillis} = job.policy;
  const objectiveMillis = stretch * criticalPathMillis(job) + targetMillis;
  const objectiveAt = job.receivedAt + objectiveMillis;
  return {job, progress, objectiveAt, virtualDelayMillis};
}

/** Replaces the progress of a job and records it in the log. */
export function setProgress(
  update: Update,
  row: JobRow,
  progress: Progress,
): void {
  update.write(JOBS).set(row.job.id, {...row, progress});
  recordProgress(update, progress);
}

/**
 * Returns the expected run time of a task of a step, in milliseconds, from what is
 * expected of its work; infinite if it has no end or nothing is known.
 */
export function expectedRunMillis(
  {isService}: Step,
  expectedMillis: number,
): number {
  return isService || expectedMillis <= 0 ? Infinity : expectedMillis;
}

/**
 * Whether a run of a step without progress shows that its worker is stalled. In
 * a gang it doesn't, as all tasks wait for the stalled one; nor in a service,
 * which never ends.
 */
export function expectsProgress(step: Step): boolean {
  return !step.isService && !step.isGang;
}
