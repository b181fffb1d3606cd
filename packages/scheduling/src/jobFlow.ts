import type {StateReader, Update} from '@samphireramp/kernel';
import {
  AWAIT_DURABLE,
  RECORD_CHANGES,
  isAttainable,
} from '@samphireramp/journal';
import type {OwnIdentity} from '@samphireramp/membership';
import type {
  Durability,
  JobOutcome,
  JobRecord,
  JobRequest,
  JobState,
  JobStatus,
  TaskState,
} from '@samphireramp/model';
import {type Admitted, type Rejection, admit} from './admission';
import {stopAttempt} from './attemptOutcome';
import {CALL_DECIDED, type LocalCall, WORK_EVENT} from './messages';
import {
  queueTask,
  queuedTasksOf,
  taskIdOf,
  tasksOf,
  unqueueTask,
} from './queueWork';
import {endTask} from './recordTask';
import {explainWait} from './explainWait';
import {JOBS, type JobRow, TASKS, type TaskRow} from './WorkState';

const JOB_TICKET = 'job ';

/** What the flow of jobs is given. */
export interface JobFlowContext {
  readonly self: OwnIdentity;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
}

/** Takes a job in, once; the same key gets the status of the first. */
export function submitJob(
  update: Update,
  context: JobFlowContext,
  call: LocalCall,
  request: JobRequest,
): void {
  const known = update.read(JOBS).get(call.key);
  if (known !== undefined) {
    answerRepeated(update, call, request, known);
    return;
  }
  const decision = admit(update, {
    shardId: call.shardId,
    workload: request.workload,
    member: request.member,
    kinds: ['batch', 'all-at-once'],
    tasks: request.tasks,
  });
  if (decision.isErr()) {
    refuse(update, call, decision.error);
    return;
  }
  const {durability, name} = decision.value.workload;
  const {self} = context;
  if (!isAttainable(update, self, call.shardId, durability, update.now)) {
    const detail = `${name} is to be kept in ${durability}; that can't be had now`;
    refuse(update, call, {reason: 'not-durable', detail});
    return;
  }
  takeIn(update, context, call, request, decision.value);
}

/** Queues a job that is safe now, and tells its caller; false for others. */
export function startSecuredJob(update: Update, ticket: string): boolean {
  if (!ticket.startsWith(JOB_TICKET)) {
    return false;
  }
  const [callId, key] = ticket.slice(JOB_TICKET.length).split(' ');
  const job = update.read(JOBS).get(key);
  if (job === undefined) {
    return true;
  }
  accept(update, callId, job);
  if (!job.isSecured) {
    const secured = {...job, isSecured: true};
    update.write(JOBS).set(key, secured);
    queueJob(update, secured);
  }
  return true;
}

/** Puts all of a job's waiting tasks into the queue. */
export function queueJob(update: Update, job: JobRow): void {
  const waiting = queuedTasksOf(update, job);
  if (job.kind === 'all-at-once') {
    waiting.slice(0, 1).forEach(task => queueTask(update, job, task));
  } else {
    waiting.forEach(task => queueTask(update, job, task));
  }
}

/** Ends a job at its caller's wish, in one pass over its tasks. */
export function cancelJob(update: Update, call: LocalCall): void {
  const job = update.read(JOBS).get(call.key);
  if (job === undefined) {
    noSuchJob(update, call);
    return;
  }
  if (job.open > 0 && !job.cancelled) {
    markCancelled(update, job);
  }
  accept(update, call.callId, update.read(JOBS).get(job.key) ?? job);
}

/** Tells how a job stands. */
export function tellStatus(update: Update, call: LocalCall): void {
  const job = update.read(JOBS).get(call.key);
  if (job === undefined) {
    noSuchJob(update, call);
  } else {
    acceptSecured(update, call, job);
  }
}

/** The status of a job as its caller sees it. */
export function statusOf(state: StateReader, job: JobRow): JobStatus {
  const tasks = tasksOf(state as Pick<Update, 'read'>, job);
  const count = (...states: TaskState[]) =>
    tasks.filter(task => states.includes(task.state)).length;
  return {
    key: job.key,
    workload: job.workload,
    state: jobState(job, tasks),
    durability: job.durability,
    tasks: {
      queued: count('queued'),
      running: count('starting', 'running', 'stopping'),
      succeeded: count('succeeded'),
      failed: count('failed', 'cancelled'),
      unknown: count('unknown'),
    },
    waitingFor: explainWait(state, job, tasks),
  };
}

function jobState(job: JobRow, tasks: readonly TaskRow[]): JobState {
  const has = (state: TaskState) => tasks.some(task => task.state === state);
  if (job.open > 0) {
    return tasks.every(task => task.state === 'queued') ? 'queued' : 'running';
  }
  if (job.cancelled) {
    return 'cancelled';
  }
  if (has('unknown')) {
    return 'unknown';
  }
  return has('failed') ? 'failed' : 'succeeded';
}

function takeIn(
  update: Update,
  context: JobFlowContext,
  call: LocalCall,
  request: JobRequest,
  {workload, team}: Admitted,
): void {
  const record: JobRecord = {
    key: call.key,
    shardId: call.shardId,
    workload: workload.name,
    kind: workload.kind,
    team,
    member: request.member,
    tasks: request.tasks,
    input: request.input,
    acceptedAt: context.wallClock(),
    cancelled: false,
    durability: workload.durability,
  };
  addJob(update, record);
  update.dispatch(RECORD_CHANGES, [{type: 'job', job: record}]);
  awaitSecured(update, call, workload.durability);
  update.emit(WORK_EVENT, {
    event: 'job-accepted',
    subject: record.key,
    workload: record.workload,
    detail: `${record.tasks} tasks for ${record.member}`,
  });
}

/** Adds a job and its tasks, none of which has run. */
export function addJob(update: Update, record: JobRecord): JobRow {
  const job: JobRow = {
    ...record,
    open: record.tasks,
    isSecured: false,
    queuedAt: update.now,
  };
  update.write(JOBS).set(job.key, job);
  for (let index = 0; index < job.tasks; index++) {
    const taskId = taskIdOf(job.key, index);
    update.write(TASKS).set(taskId, {
      taskId,
      jobKey: job.key,
      shardId: job.shardId,
      state: 'queued',
      attempt: 0,
      failures: 0,
      queuedAt: update.now,
      isUnsettled: false,
    });
  }
  return job;
}

function markCancelled(update: Update, job: JobRow): void {
  const cancelled = {...job, cancelled: true};
  update.write(JOBS).set(job.key, cancelled);
  const record = {...recordOf(job), cancelled: true};
  update.dispatch(RECORD_CHANGES, [{type: 'job', job: record}]);
  for (const task of tasksOf(update, job)) {
    if (task.isUnsettled) {
      continue;
    }
    if (task.state === 'queued') {
      unqueueTask(update, job, task);
      endTask(update, task, 'cancelled');
    } else if (task.state === 'running' || task.state === 'starting') {
      stopAttempt(update, task);
    }
  }
}

function recordOf(job: JobRow): JobRecord {
  const {key, shardId, workload, kind, team, member, tasks, input} = job;
  const {acceptedAt, cancelled, durability} = job;
  return {
    key,
    shardId,
    workload,
    kind,
    team,
    member,
    tasks,
    input,
    acceptedAt,
    cancelled,
    durability,
  };
}

function answerRepeated(
  update: Update,
  call: LocalCall,
  request: JobRequest,
  known: JobRow,
): void {
  const isSame =
    known.workload === request.workload &&
    known.member === request.member &&
    known.tasks === request.tasks;
  if (isSame) {
    acceptSecured(update, call, known);
  } else {
    const detail = `key ${call.key} names another job`;
    refuse(update, call, {reason: 'key-reused', detail});
  }
}

/** A job that is not safe yet was not accepted: its callers wait. */
function acceptSecured(update: Update, call: LocalCall, job: JobRow): void {
  if (job.isSecured) {
    accept(update, call.callId, job);
  } else {
    awaitSecured(update, call, job.durability);
  }
}

function awaitSecured(
  update: Update,
  {callId, key, shardId}: LocalCall,
  durability: Durability,
): void {
  const ticket = `${JOB_TICKET}${callId} ${key}`;
  update.dispatch(AWAIT_DURABLE, {ticket, shardId, durability});
}

function accept(update: Update, callId: string, job: JobRow): void {
  const status = statusOf(update, job);
  decide(update, callId, {outcome: 'accepted', status});
}

function refuse(update: Update, call: LocalCall, rejection: Rejection): void {
  decide(update, call.callId, {
    outcome: 'not-run',
    key: call.key,
    ...rejection,
  });
}

function noSuchJob(update: Update, call: LocalCall): void {
  decide(update, call.callId, {outcome: 'no-such-job', key: call.key});
}

function decide(update: Update, callId: string, outcome: JobOutcome): void {
  update.dispatch(CALL_DECIDED, {callId, outcome});
}
