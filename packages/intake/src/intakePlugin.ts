import {
  type PayloadOf,
  type Plugin,
  type Update,
  createTableSlice,
  createValueSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import {JOB_STATES, STATES_COPY} from '@samphireramp/job-states';
import {isFinalState} from '@samphireramp/jobs';
import {
  ANSWER_CALL,
  APPEND_REQUESTS,
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_EVENT,
  INTAKE_TICK,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
  REQUEST_APPEND_ENDED,
  REQUEST_RECEIVED,
} from './messages';
import {type Request, type RequestAnswer, jobIdOf} from './Request';

/** Requests that arrive within this time are appended in one batch. */
const BATCH_WINDOW_MILLIS = 3;
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
/**
 * Requests are refused if no read of the states of jobs has succeeded for
 * longer than this.
 */
const LOG_UNREACHABLE_MILLIS = 1200;
/** How long callers whose request is refused are told to wait before a retry. */
const RETRY_AFTER_MILLIS = 1000;
/** How long a host remembers the jobs that it accepted. */
const ACCEPTED_JOB_RETENTION_MILLIS = 60_000;

/** A job that this host accepted. */
export interface AcceptedJob {
  readonly queue: string;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly acceptedAt: number;
}

/** A caller's request that has no answer yet. */
interface PendingCall {
  readonly callId: string;
  readonly request: Request;
}

/** Calls whose requests are appended together. */
interface RequestBatch {
  readonly id: string;
  /** Partition of the first attempt. */
  readonly partition: number;
  readonly calls: readonly PendingCall[];
  readonly startedAt: number;
  /** Attempts so far to append the batch. */
  readonly attempts: number;
  /** Attempts that have no answer yet. */
  readonly attemptsInFlight: number;
  /** Whether an attempt with an unknown outcome may have been appended. */
  readonly mayBeAppended: boolean;
}

/**
 * Jobs that this host accepted recently, by job id. They count as queued until
 * the holder has read the request and this host has read their state.
 */
export const ACCEPTED_JOBS = createTableSlice<AcceptedJob>('accepted');

/** Calls whose requests wait for a batch, in order of arrival. */
const UNBATCHED_CALLS = createValueSlice<readonly PendingCall[]>(
  'gathered',
  [],
);
/** Batches that are being appended, by id. */
const BATCHES_IN_FLIGHT = createTableSlice<RequestBatch>('request-batches');
/** Number of batches created so far, from which their ids are made. */
const BATCH_COUNT = createValueSlice('request-batch-count', 0);

/** Moving average of the time until a batch is appended or fails, in ms. */
const MEAN_APPEND_TIME = createValueSlice('request-append-time', 0);

/** Options of the intake plug-in. */
export interface IntakeOptions {
  /** Number of partitions of the requests stream. */
  readonly partitions: number;
}

/** Accepts submitted jobs and cancels by appending them to the log. */
export function createIntakePlugin({partitions}: IntakeOptions): Plugin {
  function onReceived(
    update: Update,
    call: PayloadOf<typeof REQUEST_RECEIVED>,
  ): void {
    if (isRedundant(update, call.request)) {
      answerCall(update, call, {kind: 'accepted'}, 'known');
      return;
    }
    if (isLogUnreachable(update)) {
      const refusal: RequestAnswer = {
        kind: 'refused',
        retryAfterMillis: RETRY_AFTER_MILLIS,
      };
      answerCall(update, call, refusal, 'log-out-of-reach');
      return;
    }
    const unbatchedCalls = update.write(UNBATCHED_CALLS);
    if (unbatchedCalls.get().length === 0) {
      update.emit(SCHEDULE_FLUSH, {millis: BATCH_WINDOW_MILLIS});
    }
    unbatchedCalls.set([...unbatchedCalls.get(), call]);
  }

  /** Appends the waiting requests, up to the limit of batches in flight. */
  function flushRequests(update: Update): void {
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
      const count = update.write(BATCH_COUNT);
      count.set(count.get() + 1);
      attemptAppend(update, {
        id: String(count.get()),
        partition: firstPartitionOf(jobIdOf(calls[0].request), partitions),
        calls,
        startedAt: update.now,
        attempts: 0,
        attemptsInFlight: 0,
        mayBeAppended: false,
      });
    }
  }

  /** Appends a batch, for the first time or again, and schedules a hedge. */
  function attemptAppend(update: Update, batch: RequestBatch): void {
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

  function onHedge(
    update: Update,
    {batchId}: PayloadOf<typeof HEDGE_REQUESTS>,
  ): void {
    const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
    const hasEnded =
      batch === undefined ||
      update.now - batch.startedAt >= BATCH_TIMEOUT_MILLIS;
    if (
      !hasEnded &&
      batch.attemptsInFlight > 0 &&
      batch.attempts < MAX_APPEND_ATTEMPTS
    ) {
      attemptAppend(update, batch);
    }
  }

  function onAppended(
    update: Update,
    {batchId, outcome}: PayloadOf<typeof REQUEST_APPEND_ENDED>,
  ): void {
    const batch = update.read(BATCHES_IN_FLIGHT).get(batchId);
    if (batch === undefined) {
      return;
    }
    if (outcome.kind === 'appended') {
      acceptBatch(update, batch);
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
      attemptAppend(update, updated);
      return;
    }
    const answer: RequestAnswer = updated.mayBeAppended
      ? {kind: 'unknown'}
      : {kind: 'refused', retryAfterMillis: RETRY_AFTER_MILLIS};
    const detail = 'detail' in outcome ? outcome.detail : outcome.kind;
    finishBatch(update, batch, answer, detail);
  }

  function acceptBatch(update: Update, batch: RequestBatch): void {
    const acceptedJobs = update.write(ACCEPTED_JOBS);
    for (const {request} of batch.calls) {
      if (request.kind === 'submit') {
        const {id, policy} = request.job;
        acceptedJobs.set(id, {queue: policy.name, acceptedAt: update.now});
      }
    }
    finishBatch(update, batch, {kind: 'accepted'}, `tries-${batch.attempts}`);
  }

  function finishBatch(
    update: Update,
    batch: RequestBatch,
    answer: RequestAnswer,
    detail: string,
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
    flushRequests(update);
  }

  function answerCall(
    update: Update,
    {callId, request}: PendingCall,
    answer: RequestAnswer,
    detail: string,
    millis = 0,
  ): void {
    update.emit(ANSWER_CALL, {callId, answer});
    update.emit(INTAKE_EVENT, {
      event: `${request.kind}-${answer.kind}`,
      kind: request.kind,
      subject: jobIdOf(request),
      queue: request.kind === 'submit' ? request.job.policy.name : undefined,
      detail,
      millis,
    });
  }

  function onTick(update: Update): void {
    const acceptedJobs = update.write(ACCEPTED_JOBS);
    for (const [jobId, {acceptedAt}] of [...acceptedJobs.entries()]) {
      if (update.now - acceptedAt > ACCEPTED_JOB_RETENTION_MILLIS) {
        acceptedJobs.delete(jobId);
      } else {
        // Rows are in order of acceptance, so all others are newer.
        break;
      }
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(ACCEPTED_JOBS),
      kernel.registerSlice(UNBATCHED_CALLS),
      kernel.registerSlice(BATCHES_IN_FLIGHT),
      kernel.registerSlice(BATCH_COUNT),
      kernel.registerSlice(MEAN_APPEND_TIME),
      kernel.registerCommand(REQUEST_RECEIVED, onReceived),
      kernel.registerCommand(FLUSH_REQUESTS, flushRequests),
      kernel.registerCommand(HEDGE_REQUESTS, onHedge),
      kernel.registerCommand(REQUEST_APPEND_ENDED, onAppended),
      kernel.registerCommand(INTAKE_TICK, onTick),
    );
}

/**
 * Whether the request needs no append: the submitted job is known already, or
 * the job to cancel has ended.
 */
function isRedundant(update: Update, request: Request): boolean {
  const jobId = jobIdOf(request);
  const known = update.read(JOB_STATES).get(jobId);
  if (request.kind === 'submit') {
    return known !== undefined || update.read(ACCEPTED_JOBS).has(jobId);
  }
  return known !== undefined && isFinalState(known.state);
}

/** Whether this host seems cut off from the log, so that appends would fail. */
function isLogUnreachable(update: Update): boolean {
  const {readAt, isCaughtUp} = update.read(STATES_COPY).get();
  return isCaughtUp && update.now - readAt > LOG_UNREACHABLE_MILLIS;
}

/** The partition for a batch's first attempt: a hash of its first job's id. */
function firstPartitionOf(jobId: string, partitions: number): number {
  let hash = 0;
  for (let index = 0; index < jobId.length; index++) {
    hash = (hash * 31 + jobId.charCodeAt(index)) >>> 0;
  }
  return hash % partitions;
}
