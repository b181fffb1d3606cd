import type {Update} from '@samphireramp/kernel';
import {AWAIT_DURABLE, isAttainable} from '@samphireramp/journal';
import type {OwnIdentity} from '@samphireramp/membership';
import type {
  ExecuteAnswer,
  NotRunReason,
  ServiceRequest,
} from '@samphireramp/model';
import {type Admitted, admit} from './admission';
import {type LocalCall, WORK_EVENT} from './messages';
import {queueRequest, unqueueRequest} from './queueWork';
import {
  decide,
  finish,
  giveBackRoom,
  keepRoom,
  notRun,
  unknown,
} from './requestEnd';
import {saveRecord} from './requestRecord';
import {takeRetry} from './retryBudget';
import {siteView} from './SiteView';
import {emitExecution} from './startWork';
import {learnOutcome} from './workerHealth';
import {OPEN_REQUESTS, type OpenRequest, REQUEST_RECORDS} from './WorkState';

const REQUEST_TICKET = 'request ';

/** Times that one attempt is sent, the first one included. */
const SENDS_OF_ATTEMPT = 3;

/** Longest pause before the first send again; it doubles with each. */
const FIRST_BACKOFF_MILLIS = 200;
const MOST_BACKOFF_STEPS = 3;

/** What the flow of requests is given. */
export interface RequestFlowContext {
  readonly self: OwnIdentity;
  /** Draws from [0, 1). */
  readonly random: () => number;
}

/** Takes in a service request; a repeated key gets the first one's answer. */
export function takeRequest(
  update: Update,
  context: RequestFlowContext,
  call: LocalCall,
  request: ServiceRequest,
): void {
  if (followsOpen(update, call, request) || isAnswered(update, call, request)) {
    return;
  }
  const decision = admit(update, {
    shardId: call.shardId,
    workload: request.workload,
    member: request.member,
    kinds: ['service'],
    tasks: 1,
  });
  if (decision.isErr()) {
    const {reason, detail} = decision.error;
    decide(update, call.callId, notRun(call.key, reason, detail));
    return;
  }
  const admitted = decision.value;
  const row = openRow(update, call, request, admitted);
  if (admitted.workload.idempotent) {
    update.write(OPEN_REQUESTS).set(row.callId, row);
    queueRequest(update, row);
  } else {
    secure(update, context, row, admitted);
  }
}

/** Queues a request whose key is safe now; false for other tickets. */
export function queueSecuredRequest(update: Update, ticket: string): boolean {
  if (!ticket.startsWith(REQUEST_TICKET)) {
    return false;
  }
  const callId = ticket.slice(REQUEST_TICKET.length);
  const row = update.read(OPEN_REQUESTS).get(callId);
  if (row?.state === 'securing') {
    const queued: OpenRequest = {...row, state: 'queued'};
    update.write(OPEN_REQUESTS).set(callId, queued);
    queueRequest(update, queued);
  }
  return true;
}

/** Takes in a worker's answer. Late and doubled ones are counted. */
export function learnExecuted(
  update: Update,
  {callId, answer}: {callId: string; answer: ExecuteAnswer},
): void {
  const row = update.read(OPEN_REQUESTS).get(callId);
  if (row?.state !== 'executing' || row.attempt !== answer.attempt) {
    learnLate(update, answer);
    return;
  }
  if (answer.refusal !== undefined) {
    refused(update, row);
    return;
  }
  giveBackRoom(update, row);
  finish(update, row, {
    outcome: 'answered',
    key: row.key,
    output: answer.output,
  });
}

/** A worker did not answer, or the request was not sent at all. */
export function learnSilent(
  update: Update,
  {random}: RequestFlowContext,
  failed: {callId: string; attempt: number; sent: boolean},
): void {
  const row = update.read(OPEN_REQUESTS).get(failed.callId);
  if (row?.state !== 'executing' || row.attempt !== failed.attempt) {
    return;
  }
  if (!failed.sent && row.resends === 0) {
    notSent(update, row, random);
  } else if (mayResend(update, row)) {
    const longest = FIRST_BACKOFF_MILLIS * 2 ** row.resends;
    update.write(OPEN_REQUESTS).set(row.callId, {
      ...row,
      resends: row.resends + 1,
      isInDoubt: true,
      resendAt: update.now + random() * longest,
    });
  } else if (isIdempotent(update, row) && takeRetry(update, row.shardId)) {
    keepRoom(update, row);
    requeue(update, {...row, isInDoubt: true});
  }
}

/** The worker says that this send did not run; an earlier one may have. */
function refused(update: Update, row: OpenRequest): void {
  if (!row.isInDoubt || isIdempotent(update, row)) {
    tryAgain(update, row);
    return;
  }
  keepRoom(update, row);
  const detail = 'the worker lost what it knew of an earlier attempt';
  finish(update, row, unknown(row.key, detail));
}

/** The attempt never left: it may go elsewhere after a pause, if there is time. */
function notSent(update: Update, row: OpenRequest, random: () => number): void {
  if (row.worker !== undefined) {
    learnOutcome(update, row.worker, row.shardId, false);
  }
  if (update.now < row.deadline) {
    giveBackRoom(update, row);
    const steps = Math.min(row.attempt, MOST_BACKOFF_STEPS);
    const longest = FIRST_BACKOFF_MILLIS * 2 ** steps;
    update.write(OPEN_REQUESTS).set(row.callId, {
      ...row,
      state: 'pausing',
      held: undefined,
      resendAt: update.now + random() * longest,
    });
    return;
  }
  giveBackRoom(update, row);
  const detail = 'its time was over before it could be sent';
  const outcome = row.isInDoubt
    ? unknown(row.key, detail)
    : notRun(row.key, 'deadline', detail);
  finish(update, row, outcome);
}

/** Goes on with requests whose pause is over. */
export function resendRequests(update: Update): void {
  for (const row of [...update.read(OPEN_REQUESTS).values()]) {
    if (row.resendAt === undefined || update.now < row.resendAt) {
      continue;
    }
    if (row.state === 'pausing') {
      requeue(update, row);
    } else {
      const next = {...row, resendAt: undefined};
      update.write(OPEN_REQUESTS).set(row.callId, next);
      emitExecution(update, row.callId);
    }
  }
}

/** Ends the requests whose callers wait no longer. */
export function endLateRequests(update: Update): void {
  for (const row of [...update.read(OPEN_REQUESTS).values()]) {
    if (update.now >= row.deadline) {
      endLate(update, row);
    }
  }
}

/** Ends the requests of a shard that another host decides on from now. */
export function dropRequests(
  update: Update,
  shardId: string,
  reason: NotRunReason,
): void {
  for (const row of [...update.read(OPEN_REQUESTS).values()]) {
    if (row.shardId !== shardId || row.state === 'executing') {
      continue;
    }
    if (row.state === 'queued') {
      unqueueRequest(update, row);
    }
    const detail = `shard ${shardId} went to another host`;
    const outcome = row.isInDoubt
      ? unknown(row.key, detail)
      : notRun(row.key, reason, detail);
    finish(update, row, outcome);
  }
}

function followsOpen(
  update: Update,
  call: LocalCall,
  request: ServiceRequest,
): boolean {
  const [row] = update.read(OPEN_REQUESTS).withKey(call.key);
  if (row === undefined) {
    return false;
  }
  if (row.workload !== request.workload) {
    const detail = `key ${call.key} names another request`;
    decide(update, call.callId, notRun(call.key, 'key-reused', detail));
  } else {
    const followers = [...row.followers, call.callId];
    update.write(OPEN_REQUESTS).set(row.callId, {...row, followers});
  }
  return true;
}

function isAnswered(
  update: Update,
  call: LocalCall,
  request: ServiceRequest,
): boolean {
  const record = update.read(REQUEST_RECORDS).get(call.key);
  if (record === undefined) {
    return false;
  }
  if (record.workload !== request.workload) {
    const detail = `key ${call.key} names another request`;
    decide(update, call.callId, notRun(call.key, 'key-reused', detail));
    return true;
  }
  const detail = 'an earlier attempt under this key may have run';
  decide(update, call.callId, record.outcome ?? unknown(call.key, detail));
  return true;
}

function openRow(
  update: Update,
  call: LocalCall,
  request: ServiceRequest,
  {workload, team}: Admitted,
): OpenRequest {
  return {
    callId: call.callId,
    key: call.key,
    shardId: call.shardId,
    workload: workload.name,
    team,
    member: request.member,
    state: 'queued',
    attempt: 0,
    input: request.input,
    queuedAt: update.now,
    deadline: Math.min(call.deadline, update.now + workload.deadlineMillis),
    isInDoubt: false,
    resends: 0,
    followers: [],
  };
}

/** Records the key of a request that must not run twice, before it runs. */
function secure(
  update: Update,
  {self}: RequestFlowContext,
  row: OpenRequest,
  {workload}: Admitted,
): void {
  const {shardId, key} = row;
  const {durability} = workload;
  if (!isAttainable(update, self, shardId, durability, update.now)) {
    const detail = `${workload.name} is to be kept in ${durability}; that can't be had now`;
    decide(update, row.callId, notRun(key, 'not-durable', detail));
    return;
  }
  update.write(OPEN_REQUESTS).set(row.callId, {...row, state: 'securing'});
  saveRecord(update, row, undefined);
  const ticket = `${REQUEST_TICKET}${row.callId}`;
  update.dispatch(AWAIT_DURABLE, {ticket, shardId, durability});
}

function learnLate(update: Update, answer: ExecuteAnswer): void {
  update.emit(WORK_EVENT, {
    event: 'late-answer-dropped',
    subject: answer.requestId,
    workload: '',
    detail: `attempt ${answer.attempt}`,
  });
  const record = update.read(REQUEST_RECORDS).get(answer.requestId);
  const isNews = record !== undefined && record.outcome?.outcome !== 'answered';
  if (isNews && answer.refusal === undefined) {
    const {requestId: key, output} = answer;
    saveRecord(update, record, {outcome: 'answered', key, output});
  }
}

/** The attempt did not run: the next one may go anywhere. */
function tryAgain(update: Update, row: OpenRequest): void {
  giveBackRoom(update, row);
  requeue(update, row);
}

function requeue(update: Update, row: OpenRequest): void {
  const queued: OpenRequest = {
    ...row,
    state: 'queued',
    worker: undefined,
    held: undefined,
    sent: undefined,
    resends: 0,
    resendAt: undefined,
  };
  update.write(OPEN_REQUESTS).set(row.callId, queued);
  queueRequest(update, queued);
}

function mayResend(update: Update, row: OpenRequest): boolean {
  return (
    row.resends + 1 < SENDS_OF_ATTEMPT &&
    update.now < row.deadline &&
    takeRetry(update, row.shardId)
  );
}

function isIdempotent(update: Update, row: OpenRequest): boolean {
  const workload = siteView(update)?.workloads.get(row.workload);
  return workload?.idempotent ?? false;
}

function endLate(update: Update, row: OpenRequest): void {
  if (row.state === 'queued') {
    unqueueRequest(update, row);
  }
  if (row.state === 'executing') {
    keepRoom(update, row);
  }
  const mayHaveRun = row.state === 'executing' || row.isInDoubt;
  const outcome = mayHaveRun
    ? unknown(row.key, 'the worker did not answer in time')
    : notRun(row.key, 'deadline', 'no room was free in time');
  finish(update, row, outcome);
}
