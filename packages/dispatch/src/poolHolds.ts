import {createTableSlice, type Update} from '@samphireramp/kernel';
import {DISPATCH_EVENT} from './messages';
import {schedulePlacement} from './schedulePlacement';

/**
 * Room that is kept for gangs may leave steps waiting beside free workers for this long
 * while less than half of the pool is in use. Estimates may be wrong, and what a gang
 * waits for may never come.
 */
const MAX_IDLE_HOLD_MILLIS = 2000;
/** How long no room is kept then; twice as long each time in a row. */
const FIRST_PAUSE_MILLIS = 2000;
const MAX_PAUSE_MILLIS = 32_000;

/** How long gangs have kept room of a pool, and when they may again. */
interface PoolHold {
  /** Since when steps have waited beside kept room; undefined if none does. */
  readonly blockedSince: number | undefined;
  /** No room is kept before this time. */
  readonly pausedUntil: number;
  /** Number of pauses in a row. */
  readonly pauses: number;
}

/** Pools in which room is kept for gangs, or lately was, by name. */
export const POOL_HOLDS = createTableSlice<PoolHold>('pool-holds');

const NO_HOLD: PoolHold = {blockedSince: undefined, pausedUntil: 0, pauses: 0};

/** Whether room of a pool may be kept for gangs now. */
export function mayKeepRoom(update: Update, pool: string): boolean {
  const {pausedUntil} = update.read(POOL_HOLDS).get(pool) ?? NO_HOLD;
  return update.now >= pausedUntil;
}

/**
 * Records whether room that a pass kept left steps of a pool waiting while most of the
 * pool was free, and begins a pause if that has lasted for too long.
 */
export function recordHold(
  update: Update,
  pool: string,
  isBlocking: boolean,
): void {
  const hold = update.read(POOL_HOLDS).get(pool) ?? NO_HOLD;
  const blockedSince = isBlocking
    ? (hold.blockedSince ?? update.now)
    : undefined;
  const heldMillis = update.now - (blockedSince ?? update.now);
  if (heldMillis < MAX_IDLE_HOLD_MILLIS) {
    if (blockedSince !== hold.blockedSince) {
      update.write(POOL_HOLDS).set(pool, {...hold, blockedSince});
    }
    return;
  }
  const pauseMillis = Math.min(
    MAX_PAUSE_MILLIS,
    FIRST_PAUSE_MILLIS * 2 ** hold.pauses,
  );
  update.write(POOL_HOLDS).set(pool, {
    blockedSince: undefined,
    pausedUntil: update.now + pauseMillis,
    pauses: hold.pauses + 1,
  });
  update.emit(DISPATCH_EVENT, {
    event: 'gangs-yield',
    subject: pool,
    detail: `kept room for ${Math.round(heldMillis)} ms, none for ${pauseMillis} ms`,
  });
  schedulePlacement(update);
}

/** Records that a gang for which room was kept has been placed. */
export function recordHoldSucceeded(update: Update, pool: string): void {
  update.write(POOL_HOLDS).delete(pool);
}
