import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
} from '@samphireramp/kernel';
import {type RunId, runKey} from '@samphireramp/jobs';
import {
  LONGEST_LEASE_EXPIRY_MILLIS,
  MAX_CALL_DELAY_MILLIS,
} from './leaseTiming';
import type {StartOrder} from './Run';

/**
 * The start orders of a run that the next life of its worker may have carried out, or
 * may carry out later: an answer does not say which life it came from.
 */
interface UnsettledOrders {
  /** Any life of this worker may carry them out. */
  readonly workerId: string;
  /** Number of orders without an answer. */
  readonly unanswered: number;
  /** When the latest order was sent. */
  readonly sentAt: number;
  /**
   * When an order was answered as carried out, and no answer to a later poll shows that
   * the life it was meant for was there; undefined for none.
   */
  readonly takenAt: number | undefined;
  /** Whether their ticket is valid only for the incarnation it was issued for. */
  readonly hasTicket: boolean;
}

/**
 * Unsettled start orders, by run key, in the order in which runs were first ordered;
 * indexed by worker id.
 */
export const UNSETTLED_ORDERS = createIndexedTableSlice<UnsettledOrders>(
  'unsettled-orders',
  ({workerId}) => workerId,
);

/** Records that a start order was sent and has no answer yet. */
export function recordStartOrder(
  update: Update,
  workerId: string,
  {runId, ticket}: StartOrder,
): void {
  const orders = update.write(UNSETTLED_ORDERS);
  const earlier = orders.get(runKey(runId));
  orders.set(runKey(runId), {
    workerId,
    unanswered: 1 + (earlier?.unanswered ?? 0),
    sentAt: update.now,
    takenAt: earlier?.takenAt,
    hasTicket: ticket !== undefined,
  });
}

/** Records that one of the start orders of a run was refused. */
export function recordStartRefused(update: Update, runId: RunId): void {
  const orders = update.read(UNSETTLED_ORDERS).get(runKey(runId));
  if (orders !== undefined) {
    const unanswered = Math.max(0, orders.unanswered - 1);
    settle(update, runKey(runId), {...orders, unanswered});
  }
}

/** Records that one of the start orders of a run was carried out by some life. */
export function recordStartTaken(update: Update, runId: RunId): void {
  const orders = update.read(UNSETTLED_ORDERS).get(runKey(runId));
  if (orders !== undefined) {
    const unanswered = Math.max(0, orders.unanswered - 1);
    const takenAt = update.now;
    settle(update, runKey(runId), {...orders, unanswered, takenAt});
  }
}

/**
 * Records that a life reported a run or its end, in the answer to a poll sent at
 * `polledAt`. If one order only was sent, it was carried out by this life.
 */
export function recordRunReported(
  update: Update,
  key: string,
  polledAt: number,
  isOnlyOrder: boolean,
): void {
  const orders = update.read(UNSETTLED_ORDERS).get(key);
  if (orders === undefined) {
    return;
  }
  const isTakenHere = polledAt >= (orders.takenAt ?? 0);
  settle(update, key, {
    ...orders,
    unanswered: isOnlyOrder ? 0 : orders.unanswered,
    takenAt: isOnlyOrder || isTakenHere ? undefined : orders.takenAt,
  });
}

function settle(update: Update, key: string, orders: UnsettledOrders): void {
  const table = update.write(UNSETTLED_ORDERS);
  const {unanswered, takenAt, hasTicket} = orders;
  // The next life rejects the ticket, so that it takes no order that was answered.
  if (unanswered === 0 && (takenAt === undefined || hasTicket)) {
    table.delete(key);
  } else {
    table.set(key, orders);
  }
}

/**
 * Whether the next life of a worker may have a run because of an order that was meant
 * for this one. It would reject a ticket of the earlier life.
 */
export function mayNextIncarnationStart(
  state: StateReader,
  runId: RunId,
  now: number,
): boolean {
  const orders = state.read(UNSETTLED_ORDERS).get(runKey(runId));
  return orders !== undefined && mayNextLifeHaveRun(orders, now);
}

/** Whether any run may be on the next life of a worker because of such an order. */
export function mayNextLifeHaveRuns(
  state: StateReader,
  workerId: string,
  now: number,
): boolean {
  return state
    .read(UNSETTLED_ORDERS)
    .withKey(workerId)
    .some(orders => mayNextLifeHaveRun(orders, now));
}

function mayNextLifeHaveRun(orders: UnsettledOrders, now: number): boolean {
  return !orders.hasTicket && now < runsEndAt(orders);
}

/** Returns when a run must have ended that the next life began because of an order. */
function runsEndAt({unanswered, sentAt, takenAt}: UnsettledOrders): number {
  const lastTakenAt = unanswered > 0 ? sentAt + MAX_CALL_DELAY_MILLIS : takenAt;
  return (lastTakenAt ?? -Infinity) + LONGEST_LEASE_EXPIRY_MILLIS;
}

/** Deletes orders because of which no worker can have a run any more, the oldest first. */
export function forgetSettledOrders(update: Update): void {
  const table = update.write(UNSETTLED_ORDERS);
  for (const [key, orders] of table.entries()) {
    if (update.now < runsEndAt(orders)) {
      return;
    }
    table.delete(key);
  }
}
