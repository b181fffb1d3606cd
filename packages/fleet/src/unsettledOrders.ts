import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
} from '@samphireramp/kernel';
import {type RunId, runKey} from '@samphireramp/jobs';
import {WORKERS} from './FleetState';
import {leaseEndAtStart} from './leaseGranting';
import {
  LONGEST_LEASE_EXPIRY_MILLIS,
  MAX_CALL_DELAY_MILLIS,
  isSameClock,
  leaseExpiredAt,
} from './leaseTiming';
import type {StartOrder} from './Run';
import type {ClockReading, Worker} from './Worker';

/**
 * The start orders of a run that the next life of its worker may have carried out, or
 * may carry out later: an answer does not say which life it came from.
 */
interface UnsettledOrders {
  /** Any life of this worker may carry them out. */
  readonly workerId: string;
  /** The life that they were meant for. */
  readonly incarnation: string;
  /** Number of orders without an answer. */
  readonly unanswered: number;
  /** When the latest order was sent. */
  readonly sentAt: number;
  /**
   * The answer that an order was carried out, if no answer to a later poll shows that
   * the life it was meant for was there; undefined for none.
   */
  readonly taken: TakenOrder | undefined;
  readonly hasTicket: boolean;
  /** What this life had last answered when the first order was sent. */
  readonly heardBefore: Pick<Worker, 'clock' | 'heardPollSentAt'>;
}

/** What an answer tells of the life that carried out a start order. */
interface TakenOrder {
  readonly answeredAt: number;
  /** Undefined if the answer had no reading of its clock. */
  readonly clock: ClockReading | undefined;
  /**
   * Latest end of the leases that it may have by this clock, but for those that were
   * sent to the life that the order was meant for.
   */
  readonly leaseUntil: number;
  /** Whether its clock shows that it is not the life that the order was meant for. */
  readonly isByOtherLife: boolean;
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
  {id, clock, heardPollSentAt}: Worker,
  {runId, incarnation, ticket}: StartOrder,
): void {
  const orders = update.write(UNSETTLED_ORDERS);
  const earlier = orders.get(runKey(runId));
  orders.set(runKey(runId), {
    workerId: id,
    incarnation,
    unanswered: 1 + (earlier?.unanswered ?? 0),
    sentAt: update.now,
    taken: earlier?.taken,
    hasTicket: ticket !== undefined,
    heardBefore: earlier?.heardBefore ?? {clock, heardPollSentAt},
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

/**
 * Records that one of the start orders of a run was carried out by some life, whose
 * clock showed `clockMillis` then.
 */
export function recordStartTaken(
  update: Update,
  runId: RunId,
  clockMillis: number | undefined,
): void {
  const orders = update.read(UNSETTLED_ORDERS).get(runKey(runId));
  if (orders !== undefined) {
    const unanswered = Math.max(0, orders.unanswered - 1);
    const taken = describeTaken(update, orders, clockMillis);
    settle(update, runKey(runId), {...orders, unanswered, taken});
  }
}

function describeTaken(
  update: Update,
  {incarnation, sentAt, heardBefore}: UnsettledOrders,
  clockMillis: number | undefined,
): TakenOrder {
  const answeredAt = update.now;
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || clockMillis === undefined) {
    const leaseUntil = Infinity;
    return {answeredAt, clock: undefined, leaseUntil, isByOtherLife: false};
  }
  const {clock: before, heardPollSentAt} = heardBefore;
  return {
    answeredAt,
    clock: {clockMillis, receivedAt: answeredAt},
    leaseUntil: leaseEndAtStart(update, worker, clockMillis, sentAt),
    isByOtherLife:
      before !== undefined &&
      !isSameClock(before, heardPollSentAt, clockMillis, answeredAt),
  };
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
  const isTakenHere = polledAt >= (orders.taken?.answeredAt ?? 0);
  settle(update, key, {
    ...orders,
    unanswered: isOnlyOrder ? 0 : orders.unanswered,
    taken: isOnlyOrder || isTakenHere ? undefined : orders.taken,
  });
}

function settle(update: Update, key: string, orders: UnsettledOrders): void {
  const table = update.write(UNSETTLED_ORDERS);
  const {unanswered, taken} = orders;
  const isTakenHere = taken === undefined || excludesNextLife(orders);
  if (unanswered === 0 && isTakenHere) {
    table.delete(key);
  } else {
    table.set(key, orders);
  }
}

/**
 * Whether the next life of a worker may have a run because of an order that was meant
 * for this one.
 */
export function mayNextIncarnationStart(
  state: StateReader,
  runId: RunId,
  now: number,
): boolean {
  const orders = state.read(UNSETTLED_ORDERS).get(runKey(runId));
  return (
    orders !== undefined &&
    !excludesNextLife(orders) &&
    now < runsEndAt(state, orders)
  );
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
    .some(
      orders => !excludesNextLife(orders) && now < runsEndAt(state, orders),
    );
}

/**
 * Whether the next life of a worker may yet carry out an order for a run that was meant
 * for this one.
 */
export function mayOrderArriveLate(
  state: StateReader,
  runId: RunId,
  now: number,
): boolean {
  const orders = state.read(UNSETTLED_ORDERS).get(runKey(runId));
  return (
    orders !== undefined &&
    !excludesNextLife(orders) &&
    now < unansweredRunsEndAt(orders)
  );
}

/**
 * Returns when a run must have ended that the next life of a worker began because of an
 * order that was answered; -Infinity for none.
 */
export function takenRunEndsAt(state: StateReader, runId: RunId): number {
  const orders = state.read(UNSETTLED_ORDERS).get(runKey(runId));
  return orders === undefined || excludesNextLife(orders)
    ? -Infinity
    : takenOrderEndsAt(state, orders);
}

/**
 * Whether orders are taken for ones that the next life has rejected, or will reject, for
 * their ticket. A ticket that was issued for the next life shows once that answers.
 */
function excludesNextLife({hasTicket, taken}: UnsettledOrders): boolean {
  return hasTicket && taken?.isByOtherLife !== true;
}

/** Returns when a run must have ended that the next life began because of an order. */
function runsEndAt(state: StateReader, orders: UnsettledOrders): number {
  return Math.max(unansweredRunsEndAt(orders), takenOrderEndsAt(state, orders));
}

function unansweredRunsEndAt({unanswered, sentAt}: UnsettledOrders): number {
  return unanswered === 0
    ? -Infinity
    : sentAt + MAX_CALL_DELAY_MILLIS + LONGEST_LEASE_EXPIRY_MILLIS;
}

function takenOrderEndsAt(
  state: StateReader,
  {incarnation, taken}: UnsettledOrders,
): number {
  if (taken === undefined) {
    return -Infinity;
  }
  const latestEnd = taken.answeredAt + LONGEST_LEASE_EXPIRY_MILLIS;
  const worker = state.read(WORKERS).get(incarnation);
  if (worker === undefined || taken.clock === undefined) {
    return latestEnd;
  }
  // Whichever life it is, its clock rules out a lease that lasts longer.
  const leaseUntil = Math.max(taken.leaseUntil, worker.leaseGrantedUntil);
  return Math.min(latestEnd, leaseExpiredAt(taken.clock, leaseUntil));
}

/** Deletes orders because of which no worker can have a run any more, the oldest first. */
export function forgetSettledOrders(update: Update): void {
  const table = update.write(UNSETTLED_ORDERS);
  for (const [key, orders] of table.entries()) {
    if (update.now < runsEndAt(update, orders)) {
      return;
    }
    table.delete(key);
  }
}
