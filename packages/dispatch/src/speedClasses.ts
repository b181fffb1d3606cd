import type {Candidate} from './candidates';

/** Least speeds of a fast and of a normal worker; learnt speeds vary by some percent. */
const LEAST_FAST_SPEED = 1.12;
const LEAST_NORMAL_SPEED = 0.9;

/** A class of workers by speed; a higher number is faster. */
export type SpeedClass = 0 | 1 | 2;

/** All classes, the fastest first. */
export const SPEED_CLASSES_FROM_FAST: readonly SpeedClass[] = [2, 1, 0];

/** Returns the speed of a worker as 1 if it is a normal one. */
export function speedBeyondNoise({speed}: Candidate): number {
  const isNormal = speed >= LEAST_NORMAL_SPEED && speed < LEAST_FAST_SPEED;
  return isNormal ? 1 : speed;
}

/** Returns the class of a worker by its speed. */
export function speedClassOf({speed}: Candidate): SpeedClass {
  if (speed >= LEAST_FAST_SPEED) {
    return 2;
  }
  return speed >= LEAST_NORMAL_SPEED ? 1 : 0;
}
