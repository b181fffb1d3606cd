import type {Update} from '@samphireramp/kernel';
import {AWAIT_DURABLE} from '@samphireramp/journal';
import type {ResourceVector, StartOrder} from '@samphireramp/model';
import {
  SEND_ORDERS,
  SHARDS,
  WORKER_LINKS,
  lowestWorkerClock,
  orderDeadline,
} from '@samphireramp/ownership';
import {EXECUTE, WORK_EVENT} from './messages';
import type {PlacementActions} from './placeWork';
import {queuedTasksOf} from './queueWork';
import {recordTask} from './recordTask';
import {siteView} from './SiteView';
import {
  JOBS,
  type JobRow,
  OPEN_REQUESTS,
  TASKS,
  type TaskRow,
} from './WorkState';

type Start = Omit<StartOrder, 'deadline'>;

/** How long a worker may go on with a request past the caller's deadline. */
const EXECUTION_GRACE_MILLIS = 100;

/** Gathers the starts of one update and sends one message to each worker. */
export function createStartActions(update: Update): PlacementActions {
  const starts = new Map<string, Start[]>();

  function begin(
    job: JobRow,
    task: TaskRow,
    worker: string,
    held: ResourceVector,
  ): void {
    const row = startingRow(update, task, worker, held);
    update.write(TASKS).set(task.taskId, row);
    if (mayRepeat(update, job)) {
      const list = starts.get(worker) ?? [];
      list.push(startOf(update, job, row));
      starts.set(worker, list);
    } else {
      secure(update, job, row);
    }
  }

  return {
    startTask: (taskId, worker, need) => {
      const task = update.read(TASKS).get(taskId);
      const job = task && update.read(JOBS).get(task.jobKey);
      if (task !== undefined && job !== undefined) {
        begin(job, task, worker, need);
      }
    },
    startJob: (jobKey, workers, need) => {
      const job = update.read(JOBS).get(jobKey);
      if (job !== undefined) {
        queuedTasksOf(update, job).forEach((task, index) =>
          begin(job, task, workers[index], need),
        );
      }
    },
    execute: (callId, worker, need) => execute(update, callId, worker, need),
    flush: () => {
      for (const [worker, list] of starts) {
        const orders = {worker, starts: list, stops: [], forgets: []};
        update.dispatch(SEND_ORDERS, orders);
      }
    },
  };
}

/** Sends the start that a ticket waited for; false for other tickets. */
export function sendSecuredStart(update: Update, ticket: string): boolean {
  const [, attempt, taskId] = START_TICKET_PATTERN.exec(ticket) ?? [];
  if (taskId === undefined) {
    return false;
  }
  const task = update.read(TASKS).get(taskId);
  if (task?.attempt === Number(attempt) && task.state === 'starting') {
    sendStart(update, task);
  }
  return true;
}

const START_TICKET_PATTERN = /^start (\d+) (.*)$/;

function sendStart(update: Update, task: TaskRow): void {
  const job = update.read(JOBS).get(task.jobKey);
  if (task.worker === undefined || job === undefined) {
    return;
  }
  const {worker} = task;
  const row = {...task, startDeadline: deadlineAt(update, worker)};
  update.write(TASKS).set(task.taskId, row);
  const starts = [startOf(update, job, row)];
  update.dispatch(SEND_ORDERS, {worker, starts, stops: [], forgets: []});
}

/** Whether tasks of a job may be run again when an attempt was lost. */
export function mayRepeat(update: Pick<Update, 'read'>, job: JobRow): boolean {
  return siteView(update)?.workloads.get(job.workload)?.idempotent ?? false;
}

function startingRow(
  update: Update,
  task: TaskRow,
  worker: string,
  held: ResourceVector,
): TaskRow {
  update.emit(WORK_EVENT, {
    event: 'task-started',
    subject: task.taskId,
    workload: update.read(JOBS).get(task.jobKey)?.workload ?? '',
    detail: `worker ${worker}, attempt ${task.attempt + 1}`,
    millis: update.now - task.queuedAt,
  });
  return {
    ...task,
    state: 'starting',
    attempt: task.attempt + 1,
    worker,
    held,
    startedAt: update.now,
    startDeadline: deadlineAt(update, worker),
  };
}

function deadlineAt(update: Update, worker: string): number {
  const link = update.read(WORKER_LINKS).get(worker);
  return link === undefined ? -Infinity : orderDeadline(update, link);
}

function startOf(update: Update, job: JobRow, task: TaskRow): Start {
  const workload = siteView(update)?.workloads.get(job.workload);
  return {
    taskId: task.taskId,
    attempt: task.attempt,
    workload: job.workload,
    size: workload?.size ?? EMPTY_SIZE,
    input: job.input,
  };
}

const EMPTY_SIZE: StartOrder['size'] = {
  processors: 0,
  memoryMegabytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/** Records an attempt that must not be repeated before it is sent. */
function secure(update: Update, job: JobRow, row: TaskRow): void {
  recordTask(update, {...row, startDeadline: undefined});
  update.dispatch(AWAIT_DURABLE, {
    ticket: startTicket(row),
    shardId: row.shardId,
    durability: job.durability,
  });
}

const START_TICKET = 'start ';

/** The ticket under which a start waits to be recorded. */
function startTicket({taskId, attempt}: TaskRow): string {
  return `${START_TICKET}${attempt} ${taskId}`;
}

function execute(
  update: Update,
  callId: string,
  worker: string,
  held: ResourceVector,
): void {
  const request = update.read(OPEN_REQUESTS).get(callId);
  const link = update.read(WORKER_LINKS).get(worker);
  const workload = request && siteView(update)?.workloads.get(request.workload);
  const shard = link && update.read(SHARDS).get(link.shardId);
  if (!request || !link?.reading || !link.incarnation || !workload || !shard) {
    return;
  }
  const endsAt = request.deadline + EXECUTION_GRACE_MILLIS;
  const deadline = orderDeadline(update, link);
  const sent = {
    requestId: request.key,
    attempt: request.attempt + 1,
    holder: shard.holder,
    term: shard.term,
    incarnation: link.incarnation,
    deadline: Math.min(deadline, lowestWorkerClock(link.reading, endsAt)),
    endBy: lowestWorkerClock(link.reading, endsAt),
    workload: workload.name,
    size: workload.size,
    input: request.input,
  };
  const next = {
    ...request,
    state: 'executing' as const,
    attempt: sent.attempt,
    worker,
    held,
    sent,
  };
  update.write(OPEN_REQUESTS).set(callId, next);
  emitExecution(update, callId);
}

/** Sends the latest attempt of a request, or sends it again as it was. */
export function emitExecution(update: Update, callId: string): void {
  const request = update.read(OPEN_REQUESTS).get(callId);
  const link = request?.worker && update.read(WORKER_LINKS).get(request.worker);
  if (!request?.sent || !link) {
    return;
  }
  update.emit(EXECUTE, {
    callId,
    worker: link.worker,
    address: link.address,
    sendBefore: Math.min(request.deadline, link.grantedUntil),
    answerBefore: request.deadline,
    request: request.sent,
  });
}
