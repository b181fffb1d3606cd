import type {ClockReading, Worker} from './Worker';

/** Clocks of workers run slow by at most this fraction. */
export const CLOCK_DRIFT_BOUND = 0.02;
/** Duration of a lease, counted from when the holder sends it. */
export const LEASE_MILLIS = 6000;
/** A worker cuts a longer lease to this duration. */
const MAX_LEASE_MILLIS = 10_000;
/** How long after it was sent a worker may still carry out a call. */
export const MAX_CALL_DELAY_MILLIS = 15_000;
/** Added to each wait for a lease to expire, on top of the clock drift. */
const LEASE_EXPIRY_MARGIN_MILLIS = 300;
/**
 * How long a holder goes on granting leases after the newest append that proves
 * that it holds the site.
 */
const MAX_UNCONFIRMED_MILLIS = 4000;

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

/**
 * Returns the latest end of the leases that a worker may have at its first report
 * to a holder, in milliseconds of its clock: of an earlier holder or, shortly after
 * its start, from a late call to its earlier life, whose clock was ahead.
 */
export function latestUnknownLeaseEnd(clockMillis: number): number {
  const isYoung = clockMillis < MAX_CALL_DELAY_MILLIS + MAX_LEASE_MILLIS;
  return clockMillis + (isYoung ? MAX_LEASE_MILLIS : LEASE_MILLIS);
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
  const minClockRate = 1 - CLOCK_DRIFT_BOUND;
  const earlierLeasesExpiredAt =
    predecessorHeardAt +
    (LEASE_MILLIS + MAX_UNCONFIRMED_MILLIS) / minClockRate +
    LEASE_EXPIRY_MARGIN_MILLIS;
  if (worker?.clock === undefined) {
    return earlierLeasesExpiredAt;
  }
  const {clock, leaseGrantedUntil} = worker;
  const remainingMillis = Math.max(0, leaseGrantedUntil - clock.clockMillis);
  return Math.max(
    worker.hasReported ? 0 : earlierLeasesExpiredAt,
    clock.receivedAt +
      remainingMillis / minClockRate +
      LEASE_EXPIRY_MARGIN_MILLIS,
  );
}

/**
 * Returns when, on this host's clock, all leases are sure to have expired that the
 * next life of a worker got with an order that was answered, meant for the one whose
 * leases end at `leasesEndAt`.
 */
export function nextLifeLeasesExpiredAt(leasesEndAt: number): number {
  const longerMillis = MAX_LEASE_MILLIS - LEASE_MILLIS;
  return (
    leasesEndAt +
    longerMillis / (1 - CLOCK_DRIFT_BOUND) +
    LEASE_EXPIRY_MARGIN_MILLIS
  );
}
