import type {Update} from '@samphireramp/kernel';
import type {InventoryEntry} from '@samphireramp/model';
import {SEND_ORDERS} from '@samphireramp/ownership';
import {WORK_EVENT} from './messages';
import {queueTask, tasksOf} from './queueWork';
import {endTask, hasEnded, recordTask} from './recordTask';
import {releaseRoom} from './releaseRoom';
import {siteView} from './SiteView';
import {mayRepeat} from './startWork';
import {JOBS, type JobRow, STOPPING, TASKS, type TaskRow} from './WorkState';

/** A stop order that had no effect yet is sent again after this. */
const STOP_RESEND_MILLIS = 2000;

/** An attempt ended on its worker, and the worker said how. */
export function attemptEnded(
  update: Update,
  task: TaskRow,
  state: InventoryEntry['state'],
): void {
  const job = update.read(JOBS).get(task.jobKey);
  if (job === undefined) {
    return;
  }
  const free = giveBackRoom(update, task, job);
  if (state === 'succeeded') {
    endTask(update, free, 'succeeded');
    queueWholeIfStill(update, job);
    return;
  }
  const failures = state === 'failed' ? free.failures + 1 : free.failures;
  attemptOver(update, job, {...free, failures});
}

/** An attempt can no longer be running, and nobody said how it ended. */
export function attemptLost(update: Update, task: TaskRow): void {
  const job = update.read(JOBS).get(task.jobKey);
  if (job === undefined) {
    return;
  }
  update.emit(WORK_EVENT, {
    event: 'task-lost',
    subject: task.taskId,
    workload: job.workload,
    detail: `worker ${task.worker ?? 'none'}, attempt ${task.attempt}`,
  });
  const free = giveBackRoom(update, task, job);
  if (mayRepeat(update, job) || job.cancelled) {
    attemptOver(update, job, {...free, failures: free.failures + 1});
  } else {
    endTask(update, free, 'unknown');
    stopRest(update, job);
  }
}

/** An attempt is known not to have begun. */
export function attemptNotRun(update: Update, task: TaskRow): void {
  const job = update.read(JOBS).get(task.jobKey);
  if (job !== undefined) {
    attemptOver(update, job, giveBackRoom(update, task, job));
  }
}

/** Stops an attempt; it counts as running until its worker says otherwise. */
export function stopAttempt(update: Update, task: TaskRow): void {
  update
    .write(TASKS)
    .set(task.taskId, {...task, state: 'stopping', isUnsettled: false});
  sendStop(update, task);
}

/** Sends a stop order, to be sent again while it has no effect. */
export function sendStop(update: Update, task: TaskRow): void {
  const {taskId, attempt, worker} = task;
  if (worker === undefined) {
    return;
  }
  const resendAt = update.now + STOP_RESEND_MILLIS;
  update.write(STOPPING).set(taskId, {taskId, resendAt});
  const stops = [{taskId, attempt, mode: 'stop' as const}];
  update.dispatch(SEND_ORDERS, {worker, starts: [], stops, forgets: []});
}

/** Decides what follows an attempt that did not succeed. */
function attemptOver(update: Update, job: JobRow, task: TaskRow): void {
  update.write(STOPPING).delete(task.taskId);
  if (job.cancelled) {
    endTask(update, task, 'cancelled');
    return;
  }
  const workload = siteView(update)?.workloads.get(job.workload);
  if (task.failures >= (workload?.maximumAttempts ?? 1)) {
    endTask(update, task, 'failed');
    stopRest(update, job);
    return;
  }
  const queued: TaskRow = {
    ...task,
    state: 'queued',
    queuedAt: update.now,
    isUnsettled: false,
  };
  recordTask(update, queued);
  if (job.kind === 'all-at-once') {
    requeueWhole(update, job);
  } else {
    queueTask(update, job, queued);
  }
}

/** An all-at-once job goes back as a whole, once nothing of it runs. */
function requeueWhole(update: Update, job: JobRow): void {
  const tasks = tasksOf(update, job);
  for (const task of tasks) {
    if (task.state === 'running' || task.state === 'starting') {
      stopAttempt(update, task);
    }
  }
  queueWholeIfStill(update, job);
}

/** Queues the open tasks of an all-at-once job once none of them runs. */
function queueWholeIfStill(update: Update, job: JobRow): void {
  if (job.kind !== 'all-at-once') {
    return;
  }
  const open = tasksOf(update, job).filter(task => !hasEnded(task.state));
  const isStill = open.every(task => task.state === 'queued');
  if (isStill && open.length > 0) {
    queueTask(update, job, open[0]);
  }
}

/** When one task of an all-at-once job can't go on, none does. */
function stopRest(update: Update, job: JobRow): void {
  if (job.kind !== 'all-at-once') {
    return;
  }
  for (const task of tasksOf(update, job)) {
    if (task.state === 'running' || task.state === 'starting') {
      stopAttempt(update, {...task, failures: Number.MAX_SAFE_INTEGER});
    } else if (task.state === 'queued') {
      endTask(update, task, 'failed');
    }
  }
}

function giveBackRoom(update: Update, task: TaskRow, job: JobRow): TaskRow {
  const {held: need, worker, shardId} = task;
  if (need === undefined || worker === undefined) {
    return task;
  }
  releaseRoom(update, {shardId, worker, team: job.team, need});
  return {...task, held: undefined};
}
