/**
 * Deadlines without synchronised clocks. A holder knows a worker's clock from
 * the worker's last answer, and counts on by its own monotonic clock less what
 * the two may have drifted apart.
 */

/** Most that two clocks drift apart, as a part of the time that passes. */
export const CLOCK_DRIFT_BOUND = 0.02;

/** One look at a worker's clock; host times are monotonic milliseconds. */
export interface ClockReading {
  readonly workerClock: number;
  /** Host time when the question was sent. */
  readonly sentAt: number;
  /** Host time when the answer came. */
  readonly receivedAt: number;
}

/** The least that the worker's clock can show at a host time. */
export function lowestWorkerClock(
  reading: ClockReading,
  hostTime: number,
): number {
  const elapsed = hostTime - reading.receivedAt;
  const drift = elapsed >= 0 ? 1 - CLOCK_DRIFT_BOUND : 1 + CLOCK_DRIFT_BOUND;
  return reading.workerClock + elapsed * drift;
}

/** The earliest host time at which the worker's clock can show a value. */
export function earliestHostTime(
  reading: ClockReading,
  workerClock: number,
): number {
  const ahead = workerClock - reading.workerClock;
  const drift = ahead >= 0 ? 1 + CLOCK_DRIFT_BOUND : 1 - CLOCK_DRIFT_BOUND;
  return reading.sentAt + ahead / drift;
}

/** How long a lease of the worker's clock is sure to last on the host's. */
export function surelyWithin(leaseMillis: number): number {
  return leaseMillis / (1 + CLOCK_DRIFT_BOUND);
}

/** How long the host waits to be sure that a worker's lease has lapsed. */
export function surelyAfter(leaseMillis: number): number {
  return leaseMillis * (1 + 2 * CLOCK_DRIFT_BOUND);
}
