import type {PayloadOf, Update} from '@samphireramp/kernel';
import {answerCall, createRefusal} from './answerCall';
import {
  type AppendLoad,
  BATCH_TIMEOUT_MILLIS,
  MAX_BATCH_REQUESTS,
  addAppendTime,
  avoidanceEndsAt,
  choosePartition,
  countFreeBatches,
  repetitionDelayMillis,
  waitEndsAt,
} from './appendPacing';
import {
  ACCEPTED_JOBS,
  AVOIDED_PARTITIONS,
  BATCHES_IN_FLIGHT,
  BATCH_COUNT,
  MEAN_APPEND_TIME,
  type PendingCall,
  type RequestBatch,
  UNBATCHED_CALLS,
  WAIT_ENDS_AT,
} from './IntakeState';
import {
  APPEND_REQUESTS,
  type HEDGE_REQUESTS,
  type REQUEST_APPEND_ENDED,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
} from './messages';
import {type RequestAnswer, jobIdOf} from './Request';

/** Maximum number of times that a batch is appended, the first one included. */
const MAX_APPEND_ATTEMPTS = 4;
/** Timers may fire this much early. */
const TIMER_PRECISION_MILLIS = 1;
/** Interval at which it is decided anew when a late batch is appended again. */
const RECHECK_MILLIS = 50;

/** What this host knows of the appends of requests. */
export function readAppendLoad(update: Update): AppendLoad {
  const batches = [...update.read(BATCHES_IN_FLIGHT).values()];
  const ages = batches.map(({startedAt}) => update.now - startedAt);
  return {
    meanAppendMillis: update.read(MEAN_APPEND_TIME).get(),
    batchesInFlight: batches.length,
    oldestBatchMillis: Math.max(0, ...ages),
  };
}

/**
 * Refuses the waiting requests that have waited too long, and appends the others up
 * to the limit of batches in flight.
 */
export function flushRequests(update: Update, partitions: number): void {
  refuseExpiredCalls(update);
  const unbatchedCalls = update.write(UNBATCHED_CALLS);
  while (
    unbatchedCalls.get().length > 0 &&
    countFreeBatches(readAppendLoad(update)) > 0
  ) {
    const calls = unbatchedCalls.get().slice(0, MAX_BATCH_REQUESTS);
    unbatchedCalls.set(unbatchedCalls.get().slice(MAX_BATCH_REQUESTS));
    appendCalls(update, calls, update.now, partitions);
  }
  scheduleEndOfWait(update);
}

/** Refuses calls whose requests were not appended in time, and so never will be. */
function refuseExpiredCalls(update: Update): void {
  const unbatchedCalls = update.write(UNBATCHED_CALLS);
  const calls = unbatchedCalls.get();
  // Calls are in order of arrival.
  const firstInTime = calls.findIndex(
    ({receivedAt}) => update.now < waitEndsAt(receivedAt),
  );
  const expired = firstInTime < 0 ? calls.length : firstInTime;
  if (expired === 0) {
    return;
  }
  unbatchedCalls.set(calls.slice(expired));
  for (const call of calls.slice(0, expired)) {
    answerCall(update, call, createRefusal(), 'log-slow');
  }
}

/** Schedules a flush for when the first call that waits is refused. */
function scheduleEndOfWait(update: Update): void {
  const [oldestCall] = update.read(UNBATCHED_CALLS).get();
  const scheduledFor = update.read(WAIT_ENDS_AT).get();
  if (scheduledFor !== undefined && update.now < scheduledFor) {
    return;
  }
  const endsAt = oldestCall && waitEndsAt(oldestCall.receivedAt);
  update.write(WAIT_ENDS_AT).set(endsAt);
  if (endsAt !== undefined) {
    update.emit(SCHEDULE_FLUSH, {millis: millisUntil(update, endsAt)});
  }
}

/** The delay of a timer that doesn't fire before `time`. */
function millisUntil(update: Update, time: number): number {
  return Math.ceil(time - update.now) + TIMER_PRECISION_MILLIS;
}

/** Creates a batch of calls and appends it for the first time. */
function appendCalls(
  update: Update,
  calls: readonly PendingCall[],
  startedAt: number,
  partitions: number,
): void {
  const count = update.write(BATCH_COUNT);
  count.set(count.get() + 1);
  const batch = {
    id: String(count.get()),
    calls,
    startedAt,
    attempts: [],
    attemptsInFlight: 0,
    mayBeAppended: false,
  };
  attemptAppend(update, batch, partitions);
}

/**
 * Appends the halves of a batch that is larger than the log takes, until the
 * request that is too large is alone.
 */
function splitBatch(
  update: Update,
  batch: RequestBatch,
  detail: string,
  partitions: number,
): void {
  const {calls, startedAt} = batch;
  if (calls.length === 1) {
    finishBatch(update, batch, {kind: 'too-large'}, detail, partitions);
    return;
  }
  update.write(BATCHES_IN_FLIGHT).delete(batch.id);
  const middle = Math.ceil(calls.length / 2);
  appendCalls(update, calls.slice(0, middle), startedAt, partitions);
  appendCalls(update, calls.slice(middle), startedAt, partitions);
}

/** Appends a batch, for the first time or again, and schedules a hedge. */
function attemptAppend(
  update: Update,
  batch: RequestBatch,
  partitions: number,
): void {
  const attempt = batch.attempts.length;
  const partition = nextPartitionOf(update, batch, partitions);
  const attempts = [...batch.attempts, {partition, sentAt: update.now}];
  const attemptsInFlight = batch.attemptsInFlight + 1;
  const updated = {...batch, attempts, attemptsInFlight};
  update.write(BATCHES_IN_FLIGHT).set(batch.id, updated);
  const elapsedMillis = update.now - batch.startedAt;
  update.emit(APPEND_REQUESTS, {
    batchId: batch.id,
    attempt,
    partition,
    requests: batch.calls.map(({request}) => request),
    timeoutMillis: Math.max(1, BATCH_TIMEOUT_MILLIS - elapsedMillis),
  });
  scheduleHedge(update, updated);
}

/** Each attempt goes to another partition, as one may be unavailable. */
function nextPartitionOf(
  update: Update,
  {calls, attempts}: RequestBatch,
  partitions: number,
): number {
  const firstPartition = firstPartitionOf(
    jobIdOf(calls[0].request),
    partitions,
  );
  return choosePartition(
    (firstPartition + attempts.length) % partitions,
    partitions,
    partition => attempts.some(attempt => attempt.partition === partition),
    partition => isAvoided(update, partition),
  );
}

function isAvoided(update: Update, partition: number): boolean {
  const avoided = update.read(AVOIDED_PARTITIONS).get(String(partition));
  return avoided !== undefined && update.now < avoided.until;
}

/** Has other partitions preferred to one that did not take an append in time. */
function avoidPartition(update: Update, partition: number): void {
  const until = avoidanceEndsAt(update.now);
  update.write(AVOIDED_PARTITIONS).set(String(partition), {until});
}

/** When a batch is due to be appended again, by what is known now. */
function nextAttemptAt(update: Update, batch: RequestBatch): number {
  const {sentAt} = batch.attempts[batch.attempts.length - 1];
  const unanswered = [...update.read(BATCHES_IN_FLIGHT).values()].reduce(
    (sum, {attemptsInFlight}) => sum + Math.max(0, attemptsInFlight - 1),
    0,
  );
  const meanMillis = update.read(MEAN_APPEND_TIME).get();
  return sentAt + repetitionDelayMillis(meanMillis, unanswered);
}

/** Schedules the next attempt to append a batch, if there may be one. */
function scheduleHedge(update: Update, batch: RequestBatch): void {
  const attempts = batch.attempts.length;
  if (attempts < MAX_APPEND_ATTEMPTS) {
    const millis = millisUntil(update, nextAttemptAt(update, batch));
    update.emit(SCHEDULE_HEDGE, {batchId: batch.id, attempts, millis});
  }
}

/** Appends a batch again that no append has acknowledged in time. */
export function hedgeBatch(
  update: Update,
  {batchId, attempts}: PayloadOf<typeof HEDGE_REQUESTS>,
  partitions: number,
): void {
  const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
  if (batch === undefined || batch.attempts.length !== attempts) {
    return;
  }
  if (update.now < nextAttemptAt(update, batch)) {
    // When it is due depends on what other appends do meanwhile.
    const millis = RECHECK_MILLIS;
    update.emit(SCHEDULE_HEDGE, {batchId, attempts, millis});
    return;
  }
  const answeredAt = update.now + update.read(MEAN_APPEND_TIME).get();
  if (answeredAt < batch.startedAt + BATCH_TIMEOUT_MILLIS) {
    avoidPartition(update, batch.attempts[attempts - 1].partition);
    attemptAppend(update, batch, partitions);
  }
}

/** Handles the outcome of an attempt to append a batch. */
export function onBatchAppendEnded(
  update: Update,
  {batchId, attempt, outcome}: PayloadOf<typeof REQUEST_APPEND_ENDED>,
  partitions: number,
): void {
  const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
  if (batch === undefined) {
    return;
  }
  if (outcome.kind === 'appended') {
    acceptBatch(update, batch, batch.attempts[attempt].sentAt, partitions);
    return;
  }
  if (outcome.kind === 'too-large') {
    splitBatch(update, batch, outcome.detail, partitions);
    return;
  }
  avoidPartition(update, batch.attempts[attempt].partition);
  const updated: RequestBatch = {
    ...batch,
    attemptsInFlight: batch.attemptsInFlight - 1,
    mayBeAppended: batch.mayBeAppended || outcome.kind === 'unknown',
  };
  update.write(BATCHES_IN_FLIGHT).set(batchId, updated);
  if (updated.attemptsInFlight > 0) {
    return;
  }
  const isTimedOut = update.now - batch.startedAt >= BATCH_TIMEOUT_MILLIS;
  if (!isTimedOut && updated.attempts.length < MAX_APPEND_ATTEMPTS) {
    attemptAppend(update, updated, partitions);
    return;
  }
  const answer: RequestAnswer = updated.mayBeAppended
    ? {kind: 'unknown'}
    : createRefusal();
  const detail = 'detail' in outcome ? outcome.detail : outcome.kind;
  recordAppendTime(update, batch.startedAt);
  finishBatch(update, batch, answer, detail, partitions);
}

/** Accepts the calls of a batch that an attempt sent at `sentAt` has appended. */
function acceptBatch(
  update: Update,
  batch: RequestBatch,
  sentAt: number,
  partitions: number,
): void {
  const acceptedJobs = update.write(ACCEPTED_JOBS);
  for (const {request} of batch.calls) {
    if (request.kind === 'submit') {
      const {id, policy, account} = request.job;
      acceptedJobs.set(id, {
        queue: policy.name,
        account,
        acceptedAt: update.now,
      });
    }
  }
  recordAppendTime(update, sentAt);
  const detail = `tries-${batch.attempts.length}`;
  finishBatch(update, batch, {kind: 'accepted'}, detail, partitions);
}

function recordAppendTime(update: Update, sentAt: number): void {
  const meanAppendTime = update.write(MEAN_APPEND_TIME);
  const sampleMillis = update.now - sentAt;
  meanAppendTime.set(addAppendTime(meanAppendTime.get(), sampleMillis));
}

/** Answers the calls of a batch and appends what has waited for its end. */
function finishBatch(
  update: Update,
  batch: RequestBatch,
  answer: RequestAnswer,
  detail: string,
  partitions: number,
): void {
  update.write(BATCHES_IN_FLIGHT).delete(batch.id);
  const durationMillis = Math.round(update.now - batch.startedAt);
  for (const call of batch.calls) {
    answerCall(update, call, answer, detail, durationMillis);
  }
  flushRequests(update, partitions);
}

/** The partition for a batch's first attempt: a hash of its first job's id. */
function firstPartitionOf(jobId: string, partitions: number): number {
  let hash = 0;
  for (let index = 0; index < jobId.length; index++) {
    hash = (hash * 31 + jobId.charCodeAt(index)) >>> 0;
  }
  return hash % partitions;
}
