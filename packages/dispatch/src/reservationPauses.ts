import {createTableSlice, type Update} from '@samphireramp/kernel';
import {DISPATCH_EVENT} from './messages';
import {schedulePlacement} from './schedulePlacement';

/**
 * Reservations for gangs may leave steps waiting for this long while less than half of
 * their pool is in use. Estimates may be wrong, and what a gang waits for may never come.
 */
const MAX_BLOCKING_MILLIS = 2000;
/** How long nothing is reserved then; twice as long each time in a row. */
const FIRST_PAUSE_MILLIS = 2000;
const MAX_PAUSE_MILLIS = 32_000;

/** How long reservations in a pool have left steps waiting, and when there may be more. */
interface ReservationPause {
  /** Since when steps have waited; undefined if none does. */
  readonly blockedSince: number | undefined;
  /** Nothing is reserved before this time. */
  readonly pausedUntil: number;
  /** Number of pauses in a row. */
  readonly pauses: number;
}

/** Pools in which reservations leave steps waiting, or lately did, by name. */
export const RESERVATION_PAUSES =
  createTableSlice<ReservationPause>('reservation-pauses');

const NO_PAUSE: ReservationPause = {
  blockedSince: undefined,
  pausedUntil: 0,
  pauses: 0,
};

/** Whether anything may be reserved for gangs of a pool now. */
export function mayReserve(update: Update, pool: string): boolean {
  const {pausedUntil} = update.read(RESERVATION_PAUSES).get(pool) ?? NO_PAUSE;
  return update.now >= pausedUntil;
}

/**
 * Records whether the reservations of a pass left steps waiting while most of the pool
 * was free, and begins a pause if that has lasted for too long.
 */
export function recordBlocking(
  update: Update,
  pool: string,
  isBlocking: boolean,
): void {
  const pause = update.read(RESERVATION_PAUSES).get(pool) ?? NO_PAUSE;
  const blockedSince = isBlocking
    ? (pause.blockedSince ?? update.now)
    : undefined;
  const blockedMillis = update.now - (blockedSince ?? update.now);
  if (blockedMillis >= MAX_BLOCKING_MILLIS) {
    beginPause(update, pool, pause, blockedMillis);
  } else if (blockedSince !== pause.blockedSince) {
    update.write(RESERVATION_PAUSES).set(pool, {...pause, blockedSince});
  }
}

function beginPause(
  update: Update,
  pool: string,
  {pauses}: ReservationPause,
  blockedMillis: number,
): void {
  const pauseMillis = Math.min(
    MAX_PAUSE_MILLIS,
    FIRST_PAUSE_MILLIS * 2 ** pauses,
  );
  update.write(RESERVATION_PAUSES).set(pool, {
    blockedSince: undefined,
    pausedUntil: update.now + pauseMillis,
    pauses: pauses + 1,
  });
  update.emit(DISPATCH_EVENT, {
    event: 'reservations-paused',
    subject: pool,
    detail: `blocked steps for ${Math.round(blockedMillis)} ms`,
    millis: pauseMillis,
  });
  schedulePlacement(update);
}

/** Records that a gang for which room was reserved has been placed: the next pause is short. */
export function recordReservationUsed(update: Update, pool: string): void {
  update.write(RESERVATION_PAUSES).delete(pool);
}
