import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {heldTerm} from '@samphireramp/holding';

/** Lives of one worker that one holding can tell apart. */
const LIVES_PER_TERM = 1_000_000;

/** Number of the latest life of each worker in this holding, by worker id. */
export const LATEST_LIVES = createTableSlice<number>('latest-lives');

/** Returns the number of the latest life of a worker; 0 before the first. */
export function latestLife(state: StateReader, workerId: string): number {
  return state.read(LATEST_LIVES).get(workerId) ?? 0;
}

/** Returns the number of a life of a worker that this holder hasn't called yet. */
export function beginLife(update: Update, workerId: string): number {
  const life = 1 + latestLife(update, workerId);
  update.write(LATEST_LIVES).set(workerId, life);
  return life;
}

/**
 * Returns the fence of calls to a life of a worker. It rises with the term, so that
 * earlier holders are refused, and with the life, so that calls to an earlier life
 * that arrive late are refused, too.
 */
export function fenceOf(term: number, life: number): number {
  return term * LIVES_PER_TERM + Math.min(life, LIVES_PER_TERM - 1);
}

/**
 * Whether a worker refused a call because of a call by this holder that was meant
 * for a later life, and not because there is a newer holder.
 */
export function isFencedByOwnCall(
  state: StateReader,
  workerId: string,
  fence: number,
): boolean {
  const term = heldTerm(state);
  return (
    term !== undefined && fence < fenceOf(term, latestLife(state, workerId))
  );
}
