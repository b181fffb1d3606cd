import {type Candidate, type ReadyStep, URGENT_PRIORITY} from './candidates';
import {speedBeyondNoise} from './speedClasses';

/** Worth of a worker of twice the speed to urgent steps: more than any free share. */
const URGENT_SPEED_WEIGHT = 6;
/** Bounds this worth both ways, so that the rack of the data decides first. */
const MAX_URGENT_SPEED_BONUS = 6;
/** Worth of a worker of twice the speed to other steps. */
const SPEED_WEIGHT = 1;
/**
 * Bounds the worth of fast workers, so that they don't get all tasks. That of slow ones
 * isn't bounded: the slowest get what doesn't fit elsewhere.
 */
const MAX_SPEED_BONUS = 0.5;
/** Jobs that may take this many times their run time leave the fast workers to others. */
const TOLERANT_STRETCH = 3;
/** A slower worker may be sick, so that no step prefers it. */
const LEAST_SOUND_SPEED = 0.7;

/** What the speed of a worker is worth to a step, in free shares of a worker. */
export function speedBonus(candidate: Candidate, {policy}: ReadyStep): number {
  const speed = speedBeyondNoise(candidate);
  const logSpeed = Math.log2(speed);
  if (policy.priority === URGENT_PRIORITY) {
    const bonus = logSpeed * URGENT_SPEED_WEIGHT;
    const limit = MAX_URGENT_SPEED_BONUS;
    return Math.min(limit, Math.max(-limit, bonus));
  }
  if (policy.stretch >= TOLERANT_STRETCH && speed >= LEAST_SOUND_SPEED) {
    return -logSpeed * SPEED_WEIGHT;
  }
  return Math.min(MAX_SPEED_BONUS, logSpeed * SPEED_WEIGHT);
}
