import type {ClockReading, Worker} from './Worker';

/** Clocks of workers run slow by at most this share. */
export const CLOCK_DRIFT_BOUND = 0.02;
/** How long a lease runs from the moment it is asked for. */
export const LEASE_MILLIS = 6000;
/** Added to each wait for a lease to lapse. */
const LAPSE_MARGIN_MILLIS = 300;
/** How long an earlier holder may go on before a worker tells it to stop. */
const EARLIER_HOLDER_MILLIS = 2000;

/** The end of a lease granted now, on the worker's clock. */
export function leaseEnd(clock: ClockReading, now: number): number {
  return Math.floor(
    clock.clockMillis + (now - clock.receivedAt) + LEASE_MILLIS,
  );
}

/**
 * When, on this host's clock, nothing on a silent worker can run any more; for
 * a worker that this holder never met, undefined.
 */
export function leasesExpiredAt(
  worker: Worker | undefined,
  termBeganAt: number,
): number {
  const slowest = 1 - CLOCK_DRIFT_BOUND;
  const earlier =
    termBeganAt +
    (LEASE_MILLIS + EARLIER_HOLDER_MILLIS) / slowest +
    LAPSE_MARGIN_MILLIS;
  if (worker?.clock === undefined) {
    return earlier;
  }
  const {clock, leaseGrantedUntil: grantedUntil} = worker;
  const left = Math.max(0, grantedUntil - clock.clockMillis);
  return Math.max(
    worker.hasReported ? 0 : earlier,
    clock.receivedAt + left / slowest + LAPSE_MARGIN_MILLIS,
  );
}
