import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {recordProgress} from '@samphireramp/holding';
import {
  type Job,
  type Progress,
  type QueuePolicy,
  type SiteConfiguration,
  type Step,
  isFinal,
  criticalPathMillis,
} from '@samphireramp/jobs';

/** A job and how far it is. */
export interface JobRow {
  readonly job: Job;
  readonly progress: Progress;
  /** Wall-clock milliseconds by which it should be done. */
  readonly objectiveAt: number;
}

const ACTIVE = 'active';

/** Jobs by id; those that are not over are indexed. */
export const JOBS = createIndexedTableSlice<JobRow>('jobs', row =>
  isFinal(row.progress.state) ? undefined : ACTIVE,
);

/** Ids of jobs that were cancelled, also of those not seen yet. */
export const CANCELLED = createTableSlice<true>('cancelled');

/** The configuration in force; undefined before the first. */
export const CONFIGURATION = createValueSlice<SiteConfiguration | undefined>(
  'site-configuration',
  undefined,
);

/** Partitions of requests of which all that is kept was read. */
export const PARTITIONS_READ = createTableSlice<true>('partitions-read');

/** Jobs that are not over. */
export function activeJobs(state: StateReader): JobRow[] {
  return state.read(JOBS).withKey(ACTIVE);
}

/** The policy of a job's queue, as configured now if it still is. */
export function policyOf(state: StateReader, job: Job): QueuePolicy {
  const configuration = state.read(CONFIGURATION).get();
  const route = configuration?.routes.find(
    ({policy}) => policy.name === job.policy.name,
  );
  return route?.policy ?? job.policy;
}

/** Makes the row of a job. */
export function newJobRow(job: Job, progress: Progress): JobRow {
  const {stretch, targetMillis} = job.policy;
  const objectiveMillis = stretch * criticalPathMillis(job) + targetMillis;
  return {job, progress, objectiveAt: job.receivedAt + objectiveMillis};
}

/** Replaces the progress of a job, and has it written. */
export function setProgress(
  update: Update,
  row: JobRow,
  progress: Progress,
): void {
  update.write(JOBS).set(row.job.id, {...row, progress});
  recordProgress(update, progress);
}

/**
 * Whether a run that does not get on tells that its worker stands still. The
 * members of a gang all wait for the one that does, and a service never ends.
 */
export function mayStall(step: Step): boolean {
  return !step.isService && !step.isGang;
}
