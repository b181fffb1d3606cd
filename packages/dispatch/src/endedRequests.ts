import {DURABLE_PROGRESS} from '@samphireramp/holding';
import {type Progress, isFinalState} from '@samphireramp/jobs';
import {type Update, createTableSlice} from '@samphireramp/kernel';
import {END_SEEN_AT} from './DispatchState';
import {FORGET_REQUESTS} from './messages';

/** Time after the end of a job from which on its requests are deleted. */
const KEEP_ENDED_REQUESTS_MILLIS = 3000;
/** Maximum jobs whose requests are deleted from a partition at once. */
const MAX_JOBS_PER_DELETION = 500;

/** Partitions with requests about a job that this holder has read, by job id. */
export const REQUEST_PARTITIONS =
  createTableSlice<ReadonlySet<number>>('request-partitions');

/** Records that a partition has requests about jobs. */
export function notePartition(
  update: Update,
  partition: number,
  jobIds: readonly string[],
): void {
  const partitions = update.write(REQUEST_PARTITIONS);
  for (const jobId of jobIds) {
    const known = partitions.get(jobId);
    if (!known?.has(partition)) {
      partitions.set(jobId, new Set([...(known ?? []), partition]));
    }
  }
}

/**
 * Has the log delete the requests about jobs that ended some time ago, which a new
 * holder would have to read before it commands workers. Their records stay: while the
 * journal says that a job has ended, a request that arrives again doesn't run it.
 */
export function deleteEndedRequests(update: Update): void {
  const jobsByPartition = new Map<number, string[]>();
  for (const [jobId, partitions] of update.read(REQUEST_PARTITIONS).entries()) {
    const progress = update.read(DURABLE_PROGRESS).get(jobId);
    const endSeenAt = update.read(END_SEEN_AT).get(jobId) ?? Infinity;
    const isDue = update.now - endSeenAt >= KEEP_ENDED_REQUESTS_MILLIS;
    if (progress === undefined || !isDue || !isOver(progress)) {
      continue;
    }
    for (const partition of partitions) {
      const jobIds = jobsByPartition.get(partition) ?? [];
      jobsByPartition.set(partition, jobIds);
      if (jobIds.length < MAX_JOBS_PER_DELETION) {
        jobIds.push(jobId);
      }
    }
  }
  for (const [partition, jobIds] of jobsByPartition) {
    update.emit(FORGET_REQUESTS, {jobIds, partition});
  }
}

/** Forgets that a partition has requests about jobs, as they were deleted. */
export function onRequestsDeleted(
  update: Update,
  partition: number,
  jobIds: readonly string[],
): void {
  const partitions = update.write(REQUEST_PARTITIONS);
  for (const jobId of jobIds) {
    const left = new Set(partitions.get(jobId));
    left.delete(partition);
    if (left.size === 0) {
      partitions.delete(jobId);
    } else {
      partitions.set(jobId, left);
    }
  }
}

/** Whether a job has ended, and nothing that its requests describe is left of it. */
export function isOver({state, occurrences}: Progress): boolean {
  return isFinalState(state) && occurrences.length === 0;
}
