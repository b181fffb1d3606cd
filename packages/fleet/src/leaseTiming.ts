import type {ClockReading, Worker} from './Worker';

/** Clocks of workers run slow by at most this fraction. */
export const CLOCK_DRIFT_BOUND = 0.02;
/** Duration of a lease, counted from when the holder sends it. */
export const LEASE_MILLIS = 6000;
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

/**
 * Returns the end of a lease granted now, in milliseconds of the worker's
 * clock.
 */
export function leaseEnd(clock: ClockReading, now: number): number {
  return Math.floor(
    clock.clockMillis + (now - clock.receivedAt) + LEASE_MILLIS,
  );
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
