import {
  BURST_MILLIS,
  MILLIS_PER_SECOND,
  SMALLEST_WEIGHT,
} from './virtualArrivals';

/**
 * Upper bound of the random part of a Retry-After, as a share of the rest, so that
 * callers that were rejected together don't return together.
 */
const RETRY_SPREAD = 0.5;
/** A Retry-After tells whole seconds, and at least this many. */
const MIN_RETRY_SECONDS = 1;
/** Upper bound of a Retry-After before its random part. */
const MAX_RETRY_SECONDS = 3600;

/** What a host knows of an account when a job of it is handed in. */
export interface HandInSituation {
  /** Jobs a second that the account is entitled to. */
  readonly weight: number;
  /** Accepted jobs of the account that wait; undefined if that isn't known. */
  readonly waitingJobs: number | undefined;
  /** Whether all capacity is in use, so that only the entitled rate is served. */
  readonly isSiteFull: boolean;
  /** How long after it is handed in a job may start. */
  readonly maxWaitMillis: number;
}

/** Whether a job is accepted, and when its caller should try again if not. */
export type HandInDecision =
  | {readonly kind: 'accept'}
  | {readonly kind: 'reject'; readonly retryAfterSeconds: number};

/**
 * Rejects a job that can't start in time behind the backlog of its own account, at the
 * rate that the account is entitled to. Accepts it whenever that isn't known: a site
 * with free capacity serves more than this rate.
 */
export function decideHandIn(
  {weight, waitingJobs, isSiteFull, maxWaitMillis}: HandInSituation,
  random: () => number,
): HandInDecision {
  if (!isSiteFull || waitingJobs === undefined) {
    return {kind: 'accept'};
  }
  const jobMillis = MILLIS_PER_SECOND / Math.max(SMALLEST_WEIGHT, weight);
  const waitMillis = Math.max(0, waitingJobs * jobMillis - BURST_MILLIS);
  if (waitMillis <= maxWaitMillis) {
    return {kind: 'accept'};
  }
  const excessSeconds = (waitMillis - maxWaitMillis) / MILLIS_PER_SECOND;
  const leastSeconds = Math.min(
    MAX_RETRY_SECONDS,
    Math.max(MIN_RETRY_SECONDS, excessSeconds),
  );
  const spread = 1 + RETRY_SPREAD * random();
  return {
    kind: 'reject',
    retryAfterSeconds: Math.ceil(leastSeconds * spread),
  };
}
