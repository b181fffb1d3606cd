import type {Update} from '@samphireramp/kernel';
import {PLACE_WORK} from './messages';
import {QUEUE} from './WorkQueue';
import {type JobRow, type OpenRequest, TASKS, type TaskRow} from './WorkState';

/** The identifier of a task by its job and number. */
export function taskIdOf(jobKey: string, index: number): string {
  return `${jobKey}/${index}`;
}

/** The tasks of a job, in order. */
export function tasksOf(update: Pick<Update, 'read'>, job: JobRow): TaskRow[] {
  const tasks = update.read(TASKS);
  const rows: TaskRow[] = [];
  for (let index = 0; index < job.tasks; index++) {
    const row = tasks.get(taskIdOf(job.key, index));
    if (row !== undefined) {
      rows.push(row);
    }
  }
  return rows;
}

/** The tasks of a job that wait and may start. */
export function queuedTasksOf(
  state: Pick<Update, 'read'>,
  job: JobRow,
): TaskRow[] {
  return tasksOf(state, job).filter(
    task => task.state === 'queued' && !task.isUnsettled,
  );
}

/** Puts a task into the queue; an all-at-once job goes in as one item. */
export function queueTask(update: Update, job: JobRow, task: TaskRow): void {
  const isWhole = job.kind === 'all-at-once';
  update.write(QUEUE).add(job.shardId, job.workload, job.team, {
    id: isWhole ? job.key : task.taskId,
    kind: isWhole ? 'job' : 'task',
    queuedAt: task.queuedAt,
  });
  update.dispatchOnce(PLACE_WORK, job.shardId, {
    shardId: job.shardId,
  });
}

/** Takes a task, or its all-at-once job, out of the queue. */
export function unqueueTask(update: Update, job: JobRow, task: TaskRow): void {
  const id = job.kind === 'all-at-once' ? job.key : task.taskId;
  update.write(QUEUE).remove(job.shardId, job.workload, job.team, id);
}

/** Puts a request into the queue. */
export function queueRequest(update: Update, request: OpenRequest): void {
  const {shardId, workload, team, callId, queuedAt} = request;
  update
    .write(QUEUE)
    .add(shardId, workload, team, {id: callId, kind: 'request', queuedAt});
  update.dispatchOnce(PLACE_WORK, shardId, {shardId});
}

/** Takes a request out of the queue. */
export function unqueueRequest(update: Update, request: OpenRequest): void {
  const {shardId, workload, team, callId} = request;
  update.write(QUEUE).remove(shardId, workload, team, callId);
}
