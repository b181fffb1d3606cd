/** Minimum time before an unanswered batch is appended again, in parallel. */
const MIN_REPETITION_DELAY_MILLIS = 250;
/** A batch is repeated once it waits for this multiple of the append time. */
const REPETITION_DELAY_FACTOR = 3;
/**
 * Factor by which each repetition without an answer lengthens the delay of the next
 * one of any batch: two partitions without an answer suggest that the log is slow.
 */
const UNANSWERED_DELAY_FACTOR = 4;
/** The log is slow if the mean append time is longer than this. */
const SLOW_APPEND_MILLIS = 150;
/** A batch in flight is late at this age. */
const LATE_BATCH_MILLIS = 50;
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
/** Weight of a sample above the moving average of the append time. */
const RISE_SMOOTHING = 0.6;
/** Weight of a sample below the moving average of the append time. */
const FALL_SMOOTHING = 0.3;
/** For how long other partitions are preferred to one that did not answer. */
const AVOIDANCE_MILLIS = 2000;
/** Calls whose requests can't be accepted within this time are refused. */
const MAX_CALL_MILLIS = 3000;
/**
 * Maximum time that a request waits for its first append. It leaves a slow log
 * nearly as long for the append itself.
 */
const MAX_WAIT_MILLIS = 1600;

/** Maximum number of requests in a batch. */
export const MAX_BATCH_REQUESTS = 40;
/**
 * A batch that no append has acknowledged within this time fails. If an attempt
 * may have succeeded, its callers are told `unknown` and may ask again at another
 * host; otherwise they are told `refused`. Giving up earlier than a slow log answers
 * only makes callers send it the same requests again.
 */
export const BATCH_TIMEOUT_MILLIS = 2400;

/** What a host knows of the appends of requests. */
export interface AppendLoad {
  /** Moving average of the time that appends take. */
  readonly meanAppendMillis: number;
  /** Number of batches that have no answer yet. */
  readonly batchesInFlight: number;
  /** Age of the oldest of them; 0 without any. */
  readonly oldestBatchMillis: number;
}

/**
 * Number of further batches that may be appended now. A batch that is late shows
 * that the log is slow before any append has been answered late.
 */
export function countFreeBatches(load: AppendLoad): number {
  const {meanAppendMillis, batchesInFlight, oldestBatchMillis} = load;
  const isSlow =
    meanAppendMillis > SLOW_APPEND_MILLIS ||
    oldestBatchMillis > LATE_BATCH_MILLIS;
  const limit = isSlow
    ? MAX_BATCHES_IN_FLIGHT_WHEN_SLOW
    : MAX_BATCHES_IN_FLIGHT;
  return Math.max(0, limit - batchesInFlight);
}

/**
 * Time from the newest append of a batch until the next one, if none is answered
 * meanwhile: a multiple of what appends take now.
 */
export function repetitionDelayMillis(
  meanAppendMillis: number,
  unansweredRepetitions: number,
): number {
  const firstDelayMillis = Math.max(
    MIN_REPETITION_DELAY_MILLIS,
    meanAppendMillis * REPETITION_DELAY_FACTOR,
  );
  return firstDelayMillis * UNANSWERED_DELAY_FACTOR ** unansweredRepetitions;
}

/**
 * Returns the moving average of the append time with a new sample. It rises faster
 * than it falls, as repetitions make a slow log slower. A sample counts as the time
 * of a batch at most, so that a pause of the host doesn't make it refuse requests.
 */
export function addAppendTime(
  meanAppendMillis: number,
  sampleMillis: number,
): number {
  const difference =
    Math.min(sampleMillis, BATCH_TIMEOUT_MILLIS) - meanAppendMillis;
  const smoothing = difference > 0 ? RISE_SMOOTHING : FALL_SMOOTHING;
  return meanAppendMillis + difference * smoothing;
}

/**
 * Whether a request that arrives now can be expected to be accepted in time,
 * behind `waitingRequests` that are not in a batch yet.
 */
export function canAcceptInTime(
  load: AppendLoad,
  waitingRequests: number,
): boolean {
  const {meanAppendMillis, batchesInFlight, oldestBatchMillis} = load;
  const inFlightMillis =
    batchesInFlight === 0
      ? 0
      : Math.max(0, meanAppendMillis - oldestBatchMillis);
  const batches = Math.floor(waitingRequests / MAX_BATCH_REQUESTS) + 1;
  return inFlightMillis + batches * meanAppendMillis <= MAX_CALL_MILLIS;
}

/** When a request that is in no batch by then is refused. */
export function waitEndsAt(receivedAt: number): number {
  return receivedAt + MAX_WAIT_MILLIS;
}

/** Until when other partitions are preferred to one that did not answer. */
export function avoidanceEndsAt(now: number): number {
  return now + AVOIDANCE_MILLIS;
}

/**
 * Chooses the partition of the next append of a batch: the first one from
 * `preferred` on that the batch has not tried and that is not avoided, else the
 * first one that it has not tried, else `preferred`.
 */
export function choosePartition(
  preferred: number,
  partitions: number,
  isTried: (partition: number) => boolean,
  isAvoided: (partition: number) => boolean,
): number {
  const untried: number[] = [];
  for (let step = 0; step < partitions; step++) {
    const partition = (preferred + step) % partitions;
    if (!isTried(partition)) {
      untried.push(partition);
    }
  }
  return (
    untried.find(partition => !isAvoided(partition)) ?? untried[0] ?? preferred
  );
}
