import type {PayloadOf, Update} from '@samphireramp/kernel';
import {answerCall, createRefusal} from './answerCall';
import {
  ACCEPTED_JOBS,
  BATCHES_IN_FLIGHT,
  BATCH_COUNT,
  MEAN_APPEND_TIME,
  type PendingCall,
  type RequestBatch,
  UNBATCHED_CALLS,
} from './IntakeState';
import {
  APPEND_REQUESTS,
  type HEDGE_REQUESTS,
  type REQUEST_APPEND_ENDED,
  SCHEDULE_HEDGE,
} from './messages';
import {type RequestAnswer, jobIdOf} from './Request';

/** Maximum number of requests in a batch. */
const MAX_BATCH_REQUESTS = 40;
/**
 * Maximum number of batches that are being appended at a time. At this limit,
 * requests that arrive wait and share the next batch.
 */
const MAX_BATCHES_IN_FLIGHT = 3;
/**
 * Maximum number of batches that are being appended at a time if the log is
 * slow, since each partition of a slow log takes one append at a time.
 */
const MAX_BATCHES_IN_FLIGHT_WHEN_SLOW = 1;
/** The log is slow if the mean append time is longer than this. */
const SLOW_APPEND_MILLIS = 150;
/** Weight of a new sample in the moving average of the append time. */
const APPEND_TIME_SMOOTHING = 0.3;
/** Minimum time before an unanswered batch is appended again, in parallel. */
const MIN_HEDGE_DELAY_MILLIS = 250;
/**
 * Minimum time before an unanswered batch is appended again, as a multiple of the
 * mean append time.
 */
const HEDGE_DELAY_FACTOR = 3;
/** Factor by which the hedge delay grows with each further attempt. */
const HEDGE_BACKOFF_FACTOR = 2;
/** Maximum number of times that a batch is appended, the first one included. */
const MAX_APPEND_ATTEMPTS = 4;
/**
 * A batch that no append has acknowledged within this time fails. If an attempt
 * may have succeeded, its callers are told `unknown` and may ask again at another
 * host; otherwise they are told `refused`.
 */
const BATCH_TIMEOUT_MILLIS = 1600;

/** Appends the waiting requests, up to the limit of batches in flight. */
export function flushRequests(update: Update, partitions: number): void {
  const unbatchedCalls = update.write(UNBATCHED_CALLS);
  const isSlow = update.read(MEAN_APPEND_TIME).get() > SLOW_APPEND_MILLIS;
  const maxInFlight = isSlow
    ? MAX_BATCHES_IN_FLIGHT_WHEN_SLOW
    : MAX_BATCHES_IN_FLIGHT;
  while (
    unbatchedCalls.get().length > 0 &&
    update.read(BATCHES_IN_FLIGHT).size < maxInFlight
  ) {
    const calls = unbatchedCalls.get().slice(0, MAX_BATCH_REQUESTS);
    unbatchedCalls.set(unbatchedCalls.get().slice(MAX_BATCH_REQUESTS));
    appendCalls(update, calls, update.now, partitions);
  }
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
    partition: firstPartitionOf(jobIdOf(calls[0].request), partitions),
    calls,
    startedAt,
    attempts: 0,
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
  const attempts = batch.attempts + 1;
  const attemptsInFlight = batch.attemptsInFlight + 1;
  update
    .write(BATCHES_IN_FLIGHT)
    .set(batch.id, {...batch, attempts, attemptsInFlight});
  const elapsedMillis = update.now - batch.startedAt;
  update.emit(APPEND_REQUESTS, {
    batchId: batch.id,
    // Each attempt goes to another partition, as one may be unavailable.
    partition: (batch.partition + batch.attempts) % partitions,
    requests: batch.calls.map(({request}) => request),
    timeoutMillis: Math.max(1, BATCH_TIMEOUT_MILLIS - elapsedMillis),
  });
  if (attempts < MAX_APPEND_ATTEMPTS) {
    const firstDelayMillis = Math.max(
      MIN_HEDGE_DELAY_MILLIS,
      update.read(MEAN_APPEND_TIME).get() * HEDGE_DELAY_FACTOR,
    );
    const millis = firstDelayMillis * HEDGE_BACKOFF_FACTOR ** batch.attempts;
    update.emit(SCHEDULE_HEDGE, {batchId: batch.id, millis});
  }
}

/** Appends a batch again that no append has acknowledged in time. */
export function hedgeBatch(
  update: Update,
  {batchId}: PayloadOf<typeof HEDGE_REQUESTS>,
  partitions: number,
): void {
  const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
  const hasEnded =
    batch === undefined || update.now - batch.startedAt >= BATCH_TIMEOUT_MILLIS;
  if (
    !hasEnded &&
    batch.attemptsInFlight > 0 &&
    batch.attempts < MAX_APPEND_ATTEMPTS
  ) {
    attemptAppend(update, batch, partitions);
  }
}

/** Handles the outcome of an attempt to append a batch. */
export function onBatchAppendEnded(
  update: Update,
  {batchId, outcome}: PayloadOf<typeof REQUEST_APPEND_ENDED>,
  partitions: number,
): void {
  const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
  if (batch === undefined) {
    return;
  }
  if (outcome.kind === 'appended') {
    acceptBatch(update, batch, partitions);
    return;
  }
  if (outcome.kind === 'too-large') {
    splitBatch(update, batch, outcome.detail, partitions);
    return;
  }
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
  if (!isTimedOut && updated.attempts < MAX_APPEND_ATTEMPTS) {
    attemptAppend(update, updated, partitions);
    return;
  }
  const answer: RequestAnswer = updated.mayBeAppended
    ? {kind: 'unknown'}
    : createRefusal();
  const detail = 'detail' in outcome ? outcome.detail : outcome.kind;
  finishBatch(update, batch, answer, detail, partitions);
}

function acceptBatch(
  update: Update,
  batch: RequestBatch,
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
  finishBatch(
    update,
    batch,
    {kind: 'accepted'},
    `tries-${batch.attempts}`,
    partitions,
  );
}

function finishBatch(
  update: Update,
  batch: RequestBatch,
  answer: RequestAnswer,
  detail: string,
  partitions: number,
): void {
  update.write(BATCHES_IN_FLIGHT).delete(batch.id);
  const durationMillis = update.now - batch.startedAt;
  const meanAppendTime = update.write(MEAN_APPEND_TIME);
  meanAppendTime.set(
    meanAppendTime.get() +
      (durationMillis - meanAppendTime.get()) * APPEND_TIME_SMOOTHING,
  );
  for (const call of batch.calls) {
    answerCall(update, call, answer, detail, Math.round(durationMillis));
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
