import {
  type PayloadOf,
  type Plugin,
  type Update,
  mergeUnregister,
} from '@samphireramp/kernel';
import {JOB_STATES, STATES_COPY} from '@samphireramp/job-states';
import {isFinalState} from '@samphireramp/jobs';
import {answerCall, createRefusal} from './answerCall';
import {canAcceptInTime} from './appendPacing';
import {
  ACCEPTED_JOBS,
  AVOIDED_PARTITIONS,
  BATCHES_IN_FLIGHT,
  BATCH_COUNT,
  MEAN_APPEND_TIME,
  UNBATCHED_CALLS,
  WAIT_ENDS_AT,
} from './IntakeState';
import {isOfOtherAccount} from './jobStatus';
import {
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_TICK,
  SCHEDULE_FLUSH,
  REQUEST_APPEND_ENDED,
  REQUEST_RECEIVED,
} from './messages';
import {type Request, jobIdOf} from './Request';
import {
  flushRequests,
  hedgeBatch,
  onBatchAppendEnded,
  readAppendLoad,
} from './requestBatches';

/** Requests that arrive within this time are appended in one batch. */
const BATCH_WINDOW_MILLIS = 3;
/**
 * Requests are refused if no read of the states of jobs has succeeded for
 * longer than this.
 */
const LOG_UNREACHABLE_MILLIS = 1200;
/** How long a host remembers the jobs that it accepted. */
const ACCEPTED_JOB_RETENTION_MILLIS = 60_000;

/** Options of the intake plug-in. */
export interface IntakeOptions {
  /** Number of partitions of the requests stream. */
  readonly partitions: number;
}

/** Accepts submitted jobs and cancels by appending them to the log. */
export function createIntakePlugin({partitions}: IntakeOptions): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(ACCEPTED_JOBS),
      kernel.registerSlice(UNBATCHED_CALLS),
      kernel.registerSlice(WAIT_ENDS_AT),
      kernel.registerSlice(BATCHES_IN_FLIGHT),
      kernel.registerSlice(BATCH_COUNT),
      kernel.registerSlice(MEAN_APPEND_TIME),
      kernel.registerSlice(AVOIDED_PARTITIONS),
      kernel.registerCommand(REQUEST_RECEIVED, onReceived),
      kernel.registerCommand(FLUSH_REQUESTS, update =>
        flushRequests(update, partitions),
      ),
      kernel.registerCommand(HEDGE_REQUESTS, (update, payload) =>
        hedgeBatch(update, payload, partitions),
      ),
      kernel.registerCommand(REQUEST_APPEND_ENDED, (update, payload) =>
        onBatchAppendEnded(update, payload, partitions),
      ),
      kernel.registerCommand(INTAKE_TICK, forgetAcceptedJobs),
    );
}

/** Answers a request at once if that can be told, or adds it to a batch. */
function onReceived(
  update: Update,
  call: PayloadOf<typeof REQUEST_RECEIVED>,
): void {
  if (isIdInUse(update, call.request)) {
    answerCall(update, call, {kind: 'id-in-use'}, 'other-account');
    return;
  }
  if (isRedundant(update, call.request)) {
    answerCall(update, call, {kind: 'accepted'}, 'known');
    return;
  }
  if (isLogUnreachable(update)) {
    answerCall(update, call, createRefusal(), 'log-out-of-reach');
    return;
  }
  const unbatchedCalls = update.write(UNBATCHED_CALLS);
  if (!canAcceptInTime(readAppendLoad(update), unbatchedCalls.get().length)) {
    answerCall(update, call, createRefusal(), 'log-slow');
    return;
  }
  if (unbatchedCalls.get().length === 0) {
    update.emit(SCHEDULE_FLUSH, {millis: BATCH_WINDOW_MILLIS});
  }
  const waitingCall = {...call, receivedAt: update.now};
  unbatchedCalls.set([...unbatchedCalls.get(), waitingCall]);
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

/** Whether a submitted job has the id of a job of another client account. */
function isIdInUse(update: Update, request: Request): boolean {
  return (
    request.kind === 'submit' &&
    isOfOtherAccount(update, request.job.id, request.job.account)
  );
}

/** Whether this host seems cut off from the log, so that appends would fail. */
function isLogUnreachable(update: Update): boolean {
  const {readAt, isCaughtUp} = update.read(STATES_COPY).get();
  return isCaughtUp && update.now - readAt > LOG_UNREACHABLE_MILLIS;
}

/** Forgets the jobs that this host accepted long ago. */
function forgetAcceptedJobs(update: Update): void {
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
