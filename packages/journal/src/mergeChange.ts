import type {
  JobRecord,
  RequestRecord,
  TaskRecord,
  WorkChange,
} from '@samphireramp/model';

/** Later states win over earlier ones of the same attempt. */
const STATE_RANKS: Readonly<Record<TaskRecord['state'], number>> = {
  queued: 0,
  starting: 1,
  running: 2,
  stopping: 3,
  failed: 4,
  unknown: 5,
  cancelled: 6,
  succeeded: 7,
};

/** The changes of one shard, merged: at most one for each record. */
export type MergedChanges = ReadonlyMap<string, WorkChange>;

/** Names the record that a change is about. */
export function recordIdOf(change: WorkChange): string {
  switch (change.type) {
    case 'job':
      return `job ${change.job.key}`;
    case 'task':
      return `task ${change.task.taskId}`;
    case 'request':
      return `request ${change.request.key}`;
    case 'forget':
      return `forget ${change.key}`;
    default:
      return change satisfies never;
  }
}

/**
 * Joins two changes of one record. The join does not depend on order or on
 * repetition, so batches may come late, twice and from several hosts.
 */
export function joinChanges(first: WorkChange, second: WorkChange): WorkChange {
  if (first.type === 'job' && second.type === 'job') {
    return {type: 'job', job: joinJobs(first.job, second.job)};
  }
  if (first.type === 'task' && second.type === 'task') {
    return isLater(second.task, first.task) ? second : first;
  }
  if (first.type === 'request' && second.type === 'request') {
    const request = joinRequests(first.request, second.request);
    return {type: 'request', request};
  }
  return first;
}

function joinJobs(first: JobRecord, second: JobRecord): JobRecord {
  return second.cancelled ? {...first, cancelled: true} : first;
}

function joinRequests(
  first: RequestRecord,
  second: RequestRecord,
): RequestRecord {
  return first.outcome === undefined ? second : first;
}

function isLater(task: TaskRecord, other: TaskRecord): boolean {
  if (task.attempt !== other.attempt) {
    return task.attempt > other.attempt;
  }
  return STATE_RANKS[task.state] > STATE_RANKS[other.state];
}
