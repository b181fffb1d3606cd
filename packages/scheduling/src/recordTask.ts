import type {Update} from '@samphireramp/kernel';
import {RECORD_CHANGES} from '@samphireramp/journal';
import type {TaskState} from '@samphireramp/model';
import {WORK_EVENT} from './messages';
import {ENDED, JOBS, STOPPING, TASKS, type TaskRow} from './WorkState';

/** How long an ended job, or a request that must not repeat, is remembered. */
export const REMEMBER_MILLIS = 3_600_000;

const ENDED_STATES: readonly TaskState[] = [
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
];

/** Whether a task is over. */
export function hasEnded(state: TaskState): boolean {
  return ENDED_STATES.includes(state);
}

/** Changes a task and keeps the change with the second host and the log. */
export function recordTask(update: Update, row: TaskRow): void {
  update.write(TASKS).set(row.taskId, row);
  const {taskId, jobKey, state, attempt, worker, shardId} = row;
  const task = {taskId, jobKey, state, attempt, worker};
  update.dispatch(RECORD_CHANGES, [{type: 'task', shardId, task}]);
}

/** Ends a task for good. */
export function endTask(update: Update, task: TaskRow, state: TaskState): void {
  recordTask(update, {...task, state, held: undefined, isUnsettled: false});
  update.write(STOPPING).delete(task.taskId);
  const job = update.read(JOBS).get(task.jobKey);
  if (job === undefined) {
    return;
  }
  const open = job.open - 1;
  update.write(JOBS).set(job.key, {...job, open});
  tellEnd(update, task, job.workload, state);
  if (open === 0) {
    rememberFor(update, job.key, job.shardId);
    update.emit(WORK_EVENT, {
      event: 'job-ended',
      subject: job.key,
      workload: job.workload,
      detail: `${job.tasks} tasks`,
      millis: update.now - job.queuedAt,
    });
  }
}

/** Forgets ended work after its time. */
export function rememberFor(
  update: Update,
  key: string,
  shardId: string,
): void {
  const forgetAt = update.now + REMEMBER_MILLIS;
  update.write(ENDED).set(key, {key, shardId, forgetAt});
}

function tellEnd(
  update: Update,
  task: TaskRow,
  workload: string,
  state: TaskState,
): void {
  update.emit(WORK_EVENT, {
    event: state === 'unknown' ? 'task-unknown' : 'task-ended',
    subject: task.taskId,
    workload,
    detail: `${state}, worker ${task.worker ?? 'none'}, attempt ${task.attempt}`,
    millis: task.startedAt && update.now - task.startedAt,
  });
}
