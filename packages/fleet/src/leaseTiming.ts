import type {ClockReading, Worker} from './Worker';

/** Clocks of workers run slow by at most this fraction. */
export const CLOCK_DRIFT_BOUND = 0.02;
/** Duration of a lease, counted from when the holder sends it. */
export const LEASE_MILLIS = 6000;
/** A worker cuts a longer lease to this duration, counted from when it arrives. */
const MAX_LEASE_MILLIS = 10_000;
/** How long after it was sent a worker may still carry out a call. */
export const MAX_CALL_DELAY_MILLIS = 15_000;
/** Added to each wait for a lease to expire, on top of the clock drift. */
const EXPIRY_MARGIN_MILLIS = 300;
/**
 * How long a holder goes on granting leases after the newest append that proves
 * that it holds the site.
 */
const MAX_UNCONFIRMED_MILLIS = 4000;
/** Lowest rate of a worker's clock. */
const MIN_CLOCK_RATE = 1 - CLOCK_DRIFT_BOUND;
/**
 * After this time on a host's clock, a lease has expired that a worker took from any
 * call, also one that was meant for an earlier life of it.
 */
export const LONGEST_LEASE_EXPIRY_MILLIS =
  MAX_LEASE_MILLIS / MIN_CLOCK_RATE + EXPIRY_MARGIN_MILLIS;
/**
 * After this time, a lease has expired that an earlier holder granted a life which it
 * had heard, or that this life took before that.
 */
const EARLIER_LEASES_MILLIS = Math.max(
  LEASE_MILLIS + MAX_UNCONFIRMED_MILLIS,
  MAX_LEASE_MILLIS,
);

/**
 * Whether a holder may grant leases. If not, another host may have claimed the
 * site so long ago that it takes the leases of workers it can't reach for expired.
 */
export function mayGrantLeases(confirmedAt: number, now: number): boolean {
  return now - confirmedAt <= MAX_UNCONFIRMED_MILLIS;
}

/** Returns what the clock of a worker shows now if it runs as fast as this host's. */
export function expectedClock(clock: ClockReading, now: number): number {
  return Math.floor(clock.clockMillis + (now - clock.receivedAt));
}

/**
 * Returns the end of a lease granted now, in milliseconds of the worker's
 * clock.
 */
export function leaseEnd(clock: ClockReading, now: number): number {
  return expectedClock(clock, now) + LEASE_MILLIS;
}

/** What is known of the grants that a life may have taken before its first report. */
export interface EarlierGrants {
  /**
   * Latest lease end that this holder sent to earlier lives of the worker, whose clocks
   * were others; -Infinity if no call to them can be carried out any more.
   */
  readonly earlierLivesUntil: number;
  /** When the newest record of an earlier holder was read, on this host's clock. */
  readonly predecessorHeardAt: number;
  /** Whether an earlier holder had heard this life by then. */
  readonly wasHeldBefore: boolean;
}

/**
 * Returns the latest end of the leases that a life may have at its first report to a
 * holder, in milliseconds of its clock. It may have taken calls that were meant for an
 * earlier life, until that report refuses them. The lease end in such a call is a time
 * of another clock, ahead or behind, and only the maximum from its arrival is certain.
 * `polledAt` is when the poll was sent, so that its clock was read no earlier.
 */
export function latestUnknownLeaseEnd(
  clockMillis: number,
  polledAt: number,
  grants: EarlierGrants,
): number {
  const earlierLivesUntil = Math.min(
    grants.earlierLivesUntil,
    clockMillis + MAX_LEASE_MILLIS,
  );
  return Math.max(
    earlierLivesUntil,
    clockMillis + earlierHoldersLeaseMillis(polledAt, grants),
  );
}

/** How long leases from calls of earlier holders last, on the worker's clock. */
function earlierHoldersLeaseMillis(
  polledAt: number,
  {predecessorHeardAt, wasHeldBefore}: EarlierGrants,
): number {
  const silentMillis = polledAt - predecessorHeardAt;
  if (wasHeldBefore) {
    return Math.max(0, EARLIER_LEASES_MILLIS - silentMillis * MIN_CLOCK_RATE);
  }
  const lastCallMillis = MAX_UNCONFIRMED_MILLIS + MAX_CALL_DELAY_MILLIS;
  return silentMillis > lastCallMillis + LONGEST_LEASE_EXPIRY_MILLIS
    ? 0
    : MAX_LEASE_MILLIS;
}

/**
 * Returns when, on this host's clock, all leases of a silent worker are sure to
 * have expired, so that no run is left there. `worker` is undefined for a
 * worker that this holder has not seen. Earlier holders had proof of their holding
 * until `predecessorHeardAt` at the latest.
 */
export function leasesExpiredAt(
  worker: Worker | undefined,
  predecessorHeardAt: number,
): number {
  const earlierLeasesExpiredAt =
    predecessorHeardAt +
    EARLIER_LEASES_MILLIS / MIN_CLOCK_RATE +
    EXPIRY_MARGIN_MILLIS;
  if (worker?.clock === undefined) {
    return earlierLeasesExpiredAt;
  }
  return Math.max(
    worker.hasReported ? 0 : earlierLeasesExpiredAt,
    leaseExpiredAt(worker.clock, worker.leaseGrantedUntil),
  );
}

/**
 * Returns when, on this host's clock, a lease is sure to have expired that ends at a
 * time of the clock that was read.
 */
export function leaseExpiredAt(
  {clockMillis, receivedAt}: ClockReading,
  leaseUntil: number,
): number {
  const remainingMillis = Math.max(0, leaseUntil - clockMillis);
  return receivedAt + remainingMillis / MIN_CLOCK_RATE + EXPIRY_MARGIN_MILLIS;
}

/**
 * Whether the clock that showed `before` in the answer to a poll sent at `polledAt` may
 * show `clockMillis` later, in an answer that came at `answeredAt`.
 */
export function isSameClock(
  before: ClockReading,
  polledAt: number,
  clockMillis: number,
  answeredAt: number,
): boolean {
  const latestMillis =
    before.clockMillis + (answeredAt - polledAt) + EXPIRY_MARGIN_MILLIS;
  return clockMillis >= before.clockMillis && clockMillis <= latestMillis;
}

/**
 * Returns when, on this host's clock, all leases are sure to have expired that the
 * next life of a worker got with an order that was answered, meant for the one whose
 * leases end at `leasesEndAt`.
 */
export function nextLifeLeasesExpiredAt(leasesEndAt: number): number {
  const longerMillis = MAX_LEASE_MILLIS - LEASE_MILLIS;
  return leasesEndAt + longerMillis / MIN_CLOCK_RATE + EXPIRY_MARGIN_MILLIS;
}
