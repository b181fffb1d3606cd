import {
  type PayloadOf,
  type Plugin,
  type Update,
  createTableSlice,
  createValueSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import {HOLDING, DURABLE_PROGRESS} from '@samphireramp/holding';
import {isFinal} from '@samphireramp/jobs';
import {
  ANSWER_CALL,
  APPEND_REQUESTS,
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_EVENT,
  INTAKE_TICK,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
  REQUESTS_APPENDED,
  REQUEST_RECEIVED,
} from './messages';
import {type Request, type RequestAnswer, jobIdOf} from './Request';

/** Requests that come within this time are written together. */
const GATHER_MILLIS = 3;
/** Requests in one batch at the most. */
const MOST_TOGETHER = 40;
/** Batches under way at the most; what comes meanwhile goes together. */
const MOST_BATCHES = 3;
/** The same while the log takes long: its partitions take one at a time. */
const MOST_BATCHES_WHEN_SLOW = 1;
/** An append that takes this long on average makes the log slow. */
const SLOW_APPEND_MILLIS = 150;
/** Share of a new measurement in the running time of an append. */
const APPEND_TIME_WEIGHT = 0.3;
/** A batch without an answer is sent once more, beside the first, after this. */
const HEDGE_MILLIS = 250;
/** ... and not before this many times what an append takes now. */
const HEDGE_APPEND_TIMES = 3;
/** ... and twice as long after each further time. */
const HEDGE_GROWTH = 2;
const MOST_TRIES = 4;
/** Then callers are told of the doubt: they may ask again, at another host. */
const GIVE_UP_MILLIS = 1600;
/** Without a read of the log for this long, nothing is sent to it. */
const OUT_OF_REACH_MILLIS = 1200;
const RETRY_AFTER_MILLIS = 1000;
/** How long a host remembers what it accepted, beside the journal. */
const ACCEPTED_MEMORY_MILLIS = 60_000;

/** A job that this host accepted itself. */
export interface AcceptedJob {
  readonly queue: string;
  readonly at: number;
}

interface Waiting {
  readonly callId: string;
  readonly request: Request;
}

interface RequestBatch {
  readonly id: string;
  readonly partition: number;
  readonly waiting: readonly Waiting[];
  readonly startedAt: number;
  readonly tries: number;
  /** Tries that have no answer yet. */
  readonly openTries: number;
  /** Whether any try may be done though it brought no answer. */
  readonly isInDoubt: boolean;
}

/** Jobs that this host accepted itself, lately. */
export const ACCEPTED = createTableSlice<AcceptedJob>('accepted');

const GATHERED = createValueSlice<readonly Waiting[]>('gathered', []);
const BATCHES = createTableSlice<RequestBatch>('request-batches');
const BATCH_COUNT = createValueSlice('request-batch-count', 0);

/** Running mean of how long batches take, in milliseconds. */
const APPEND_TIME = createValueSlice('request-append-time', 0);

/** What the plug-in is given. */
export interface IntakeOptions {
  /** Partitions of the stream of requests. */
  readonly partitions: number;
}

/** Accepts jobs and cancels by writing them to the log. */
export function createIntakePlugin({partitions}: IntakeOptions): Plugin {
  function onReceived(
    update: Update,
    waiting: PayloadOf<typeof REQUEST_RECEIVED>,
  ): void {
    if (isSettled(update, waiting.request)) {
      answer(update, waiting, {kind: 'accepted'}, 'known');
      return;
    }
    if (isOutOfReach(update)) {
      const refused: RequestAnswer = {
        kind: 'refused',
        retryAfterMillis: RETRY_AFTER_MILLIS,
      };
      answer(update, waiting, refused, 'log-out-of-reach');
      return;
    }
    const gathered = update.write(GATHERED);
    if (gathered.get().length === 0) {
      update.emit(SCHEDULE_FLUSH, {millis: GATHER_MILLIS});
    }
    gathered.set([...gathered.get(), waiting]);
  }

  /** Sends what was gathered, as far as batches may be under way. */
  function flush(update: Update): void {
    const gathered = update.write(GATHERED);
    const isSlow = update.read(APPEND_TIME).get() > SLOW_APPEND_MILLIS;
    const most = isSlow ? MOST_BATCHES_WHEN_SLOW : MOST_BATCHES;
    while (gathered.get().length > 0 && update.read(BATCHES).size < most) {
      const waiting = gathered.get().slice(0, MOST_TOGETHER);
      gathered.set(gathered.get().slice(MOST_TOGETHER));
      const count = update.write(BATCH_COUNT);
      count.set(count.get() + 1);
      send(update, {
        id: String(count.get()),
        partition: partitionOf(jobIdOf(waiting[0].request), partitions),
        waiting,
        startedAt: update.now,
        tries: 0,
        openTries: 0,
        isInDoubt: false,
      });
    }
  }

  function send(update: Update, batch: RequestBatch): void {
    const tries = batch.tries + 1;
    const openTries = batch.openTries + 1;
    update.write(BATCHES).set(batch.id, {...batch, tries, openTries});
    const sinceStart = update.now - batch.startedAt;
    update.emit(APPEND_REQUESTS, {
      batchId: batch.id,
      // Another partition each time, since single ones may be out of service.
      partition: (batch.partition + batch.tries) % partitions,
      requests: batch.waiting.map(({request}) => request),
      timeoutMillis: Math.max(1, GIVE_UP_MILLIS - sinceStart),
    });
    if (tries < MOST_TRIES) {
      const first = Math.max(
        HEDGE_MILLIS,
        update.read(APPEND_TIME).get() * HEDGE_APPEND_TIMES,
      );
      const millis = first * HEDGE_GROWTH ** batch.tries;
      update.emit(SCHEDULE_HEDGE, {batchId: batch.id, millis});
    }
  }

  function hedge(
    update: Update,
    {batchId}: PayloadOf<typeof HEDGE_REQUESTS>,
  ): void {
    const batch = update.read(BATCHES).get(batchId);
    const isOver =
      batch === undefined || update.now - batch.startedAt >= GIVE_UP_MILLIS;
    if (!isOver && batch.openTries > 0 && batch.tries < MOST_TRIES) {
      send(update, batch);
    }
  }

  function onAppended(
    update: Update,
    {batchId, outcome}: PayloadOf<typeof REQUESTS_APPENDED>,
  ): void {
    const batch = update.read(BATCHES).get(batchId);
    if (batch === undefined) {
      return;
    }
    if (outcome.kind === 'appended') {
      accept(update, batch);
      return;
    }
    const next: RequestBatch = {
      ...batch,
      openTries: batch.openTries - 1,
      isInDoubt: batch.isInDoubt || outcome.kind === 'unknown',
    };
    update.write(BATCHES).set(batchId, next);
    if (next.openTries > 0) {
      return;
    }
    const isOver = update.now - batch.startedAt >= GIVE_UP_MILLIS;
    if (!isOver && next.tries < MOST_TRIES) {
      send(update, next);
      return;
    }
    const result: RequestAnswer = next.isInDoubt
      ? {kind: 'unknown'}
      : {kind: 'refused', retryAfterMillis: RETRY_AFTER_MILLIS};
    const detail = 'detail' in outcome ? outcome.detail : outcome.kind;
    finish(update, batch, result, detail);
  }

  function accept(update: Update, batch: RequestBatch): void {
    const accepted = update.write(ACCEPTED);
    for (const {request} of batch.waiting) {
      if (request.kind === 'submit') {
        const {id, policy} = request.job;
        accepted.set(id, {queue: policy.name, at: update.now});
      }
    }
    finish(update, batch, {kind: 'accepted'}, `tries-${batch.tries}`);
  }

  function finish(
    update: Update,
    batch: RequestBatch,
    result: RequestAnswer,
    detail: string,
  ): void {
    update.write(BATCHES).delete(batch.id);
    const took = update.now - batch.startedAt;
    const time = update.write(APPEND_TIME);
    time.set(time.get() + (took - time.get()) * APPEND_TIME_WEIGHT);
    for (const waiting of batch.waiting) {
      answer(update, waiting, result, detail, Math.round(took));
    }
    flush(update);
  }

  function answer(
    update: Update,
    {callId, request}: Waiting,
    result: RequestAnswer,
    detail: string,
    millis = 0,
  ): void {
    update.emit(ANSWER_CALL, {callId, answer: result});
    update.emit(INTAKE_EVENT, {
      event: `${request.kind}-${result.kind}`,
      kind: request.kind,
      subject: jobIdOf(request),
      queue: request.kind === 'submit' ? request.job.policy.name : undefined,
      detail,
      millis,
    });
  }

  function onTick(update: Update): void {
    const accepted = update.write(ACCEPTED);
    for (const [jobId, {at}] of [...accepted.entries()]) {
      if (update.now - at > ACCEPTED_MEMORY_MILLIS) {
        accepted.delete(jobId);
      } else {
        break;
      }
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(ACCEPTED),
      kernel.registerSlice(GATHERED),
      kernel.registerSlice(BATCHES),
      kernel.registerSlice(BATCH_COUNT),
      kernel.registerSlice(APPEND_TIME),
      kernel.registerCommand(REQUEST_RECEIVED, onReceived),
      kernel.registerCommand(FLUSH_REQUESTS, flush),
      kernel.registerCommand(HEDGE_REQUESTS, hedge),
      kernel.registerCommand(REQUESTS_APPENDED, onAppended),
      kernel.registerCommand(INTAKE_TICK, onTick),
    );
}

/** Whether the journal shows already that nothing is left to be kept. */
function isSettled(update: Update, request: Request): boolean {
  const jobId = jobIdOf(request);
  const view = update.read(DURABLE_PROGRESS).get(jobId);
  if (request.kind === 'submit') {
    return view !== undefined || update.read(ACCEPTED).has(jobId);
  }
  return view !== undefined && isFinal(view.state);
}

/** Whether this host seems cut off from the log, so that sending is vain. */
function isOutOfReach(update: Update): boolean {
  const {journalReadAt: readAt, isCaughtUp} = update.read(HOLDING).get();
  return isCaughtUp && update.now - readAt > OUT_OF_REACH_MILLIS;
}

/** The partition that a batch is written to first, by its first job. */
function partitionOf(jobId: string, partitions: number): number {
  let hash = 0;
  for (let index = 0; index < jobId.length; index++) {
    hash = (hash * 31 + jobId.charCodeAt(index)) >>> 0;
  }
  return hash % partitions;
}
