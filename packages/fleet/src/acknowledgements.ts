import type {StateReader, Update} from '@samphireramp/kernel';
import {WORKERS, changeWorker} from './FleetState';
import {beginLife} from './fence';
import {mayNextLifeHaveRuns} from './unsettledOrders';
import type {SentAcknowledgement, Worker} from './Worker';

/**
 * Keeps polls of one life from acknowledging ends of the next one, which numbers its
 * ends anew. A poll that acknowledges ends is not sent while the next life may have a
 * run because of an earlier order, and a life that took a later order refuses the poll.
 */

/** Delay of a poll that a worker would answer at once, as it has old ends. */
const HELD_BACK_POLL_DELAY_MILLIS = 100;

/** Returns up to which end a poll of a worker that answers may acknowledge; 0 for none. */
export function acknowledgeableEnd(
  state: StateReader,
  worker: Worker,
  now: number,
): number {
  const isHeldBack = mayNextLifeHaveRuns(state, worker.id, now);
  return awaitsAcknowledgement(worker) && !isHeldBack ? worker.durableEnd : 0;
}

/** Delays the next poll of a worker whose ends can't be acknowledged for now. */
export function delayPollIfHeldBack(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (
    worker !== undefined &&
    awaitsAcknowledgement(worker) &&
    acknowledgeableEnd(update, worker, update.now) === 0
  ) {
    const heldBackUntil = update.now + HELD_BACK_POLL_DELAY_MILLIS;
    const nextPollAt = Math.max(worker.nextPollAt, heldBackUntil);
    changeWorker(update, incarnation, {nextPollAt});
  }
}

/** Whether the newest report lists an end whose effects are durable. */
function awaitsAcknowledgement({oldestListedEnd, durableEnd}: Worker): boolean {
  return oldestListedEnd !== undefined && oldestListedEnd <= durableEnd;
}

/** Returns what is known of acknowledgements once one more is sent. */
export function acknowledgementSent({
  acknowledgement,
}: Worker): SentAcknowledgement {
  return acknowledgement === 'lost' ? 'lost' : 'open';
}

/** Returns what is known of acknowledgements once the open poll was answered. */
export function acknowledgementAnswered({
  acknowledgement,
}: Worker): SentAcknowledgement {
  return acknowledgement === 'lost' ? 'lost' : 'none';
}

/** Returns what is known of acknowledgements once the open poll has failed. */
export function acknowledgementFailed({
  acknowledgement,
}: Worker): SentAcknowledgement {
  return acknowledgement === 'none' ? 'none' : 'lost';
}

/**
 * Has whatever life takes a later call to this worker refuse the acknowledgements that
 * are on their way. This life is polled again if it refuses one.
 */
export function fenceAcknowledgements(update: Update, worker: Worker): void {
  if (worker.acknowledgement !== 'none') {
    changeWorker(update, worker.incarnation, {
      life: beginLife(update, worker.id),
      acknowledgement: 'none',
    });
  }
}
