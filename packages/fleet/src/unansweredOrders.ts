import {
  type PayloadOf,
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {heldTerm} from '@samphireramp/holding';
import {type RunId, runKey} from '@samphireramp/jobs';
import {fenceOf, latestLife} from './fence';
import {RUNS} from './FleetState';
import {MAX_CALL_DELAY_MILLIS} from './leaseTiming';
import {FLEET_EVENT, ORDER_STOP, type STOP_ANSWERED} from './messages';
import type {StartOrder} from './Run';
import {STOP_RETRY_MILLIS, STOP_TIMEOUT_MILLIS} from './stopTiming';
import type {Worker} from './Worker';

/** An order to a later incarnation of a worker to refuse a run. */
interface ForbidOrder {
  readonly incarnation: string;
  readonly address: string;
  readonly sentAt: number;
  readonly isConfirmed: boolean;
}

/** The start orders of a run that have no answer; each may be carried out later. */
interface UnansweredOrders {
  readonly runId: RunId;
  readonly workerId: string;
  /** When the latest of them was sent. */
  readonly sentAt: number;
  readonly count: number;
  /** Whether their ticket is valid only for the incarnation it was issued for. */
  readonly hasTicket: boolean;
  /** Latest order to refuse the run; undefined without a later incarnation. */
  readonly forbidden?: ForbidOrder;
}

/** Start orders without an answer, by run key, in the order they were sent. */
export const UNANSWERED_ORDERS =
  createTableSlice<UnansweredOrders>('unanswered-orders');

/** Records that a start order was sent and has no answer yet. */
export function recordStartOrder(
  update: Update,
  {runId, ticket}: StartOrder,
  workerId: string,
): void {
  const orders = update.write(UNANSWERED_ORDERS);
  const count = 1 + (orders.get(runKey(runId))?.count ?? 0);
  orders.set(runKey(runId), {
    ...orders.get(runKey(runId)),
    runId,
    workerId,
    sentAt: update.now,
    count,
    hasTicket: ticket !== undefined,
  });
}

/** Records that one of the start orders of a run was answered. */
export function recordStartAnswer(update: Update, runId: RunId): void {
  const orders = update.write(UNANSWERED_ORDERS);
  const unanswered = orders.get(runKey(runId));
  if (unanswered === undefined) {
    return;
  }
  if (unanswered.count === 1) {
    orders.delete(runKey(runId));
  } else {
    const count = unanswered.count - 1;
    orders.set(runKey(runId), {...unanswered, count});
  }
}

/**
 * Whether the next incarnation of a worker may start a run because of an order
 * without an answer. It would reject a ticket of the earlier incarnation.
 */
export function mayNextIncarnationStart(
  state: StateReader,
  runId: RunId,
): boolean {
  return state.read(UNANSWERED_ORDERS).get(runKey(runId))?.hasTicket === false;
}

/** Deletes the orders that no worker can carry out any more. */
export function forgetUnansweredOrders(update: Update): void {
  const orders = update.write(UNANSWERED_ORDERS);
  for (const [key, {sentAt}] of [...orders.entries()]) {
    if (update.now - sentAt > MAX_CALL_DELAY_MILLIS) {
      orders.delete(key);
    }
  }
}

/**
 * Orders the incarnation that now answers at a worker's address to refuse the
 * runs whose start orders got no answer from an earlier one: it would carry out
 * such an order, although the task may have ended or run elsewhere since.
 */
export function forbidUnansweredOrders(
  update: Update,
  {id, incarnation, address}: Pick<Worker, 'id' | 'incarnation' | 'address'>,
): void {
  for (const orders of [...update.read(UNANSWERED_ORDERS).values()]) {
    const isConfirmed =
      orders.forbidden?.incarnation === incarnation &&
      orders.forbidden.isConfirmed;
    if (orders.workerId === id && !isConfirmed) {
      update.emit(FLEET_EVENT, {
        event: 'run-forbidden',
        worker: incarnation,
        subject: runKey(orders.runId),
        detail: 'reborn',
        millis: Math.round(update.now - orders.sentAt),
        orders: orders.count,
      });
      sendForbidOrder(update, orders, incarnation, address);
    }
  }
}

function sendForbidOrder(
  update: Update,
  orders: UnansweredOrders,
  incarnation: string,
  address: string,
): void {
  const {runId, workerId: id} = orders;
  const term = heldTerm(update);
  if (term === undefined) {
    return;
  }
  const sentAt = update.now;
  update.write(UNANSWERED_ORDERS).set(runKey(runId), {
    ...orders,
    forbidden: {incarnation, address, sentAt, isConfirmed: false},
  });
  update.emit(ORDER_STOP, {
    runId,
    incarnation,
    id,
    address,
    term,
    fence: fenceOf(term, latestLife(update, id)),
    timeoutMillis: STOP_TIMEOUT_MILLIS,
  });
}

/**
 * Repeats the orders to refuse a run that are not confirmed. A run that is being
 * stopped gets its stop orders instead, which have the same effect.
 */
export function resendForbidOrders(update: Update): void {
  for (const orders of [...update.read(UNANSWERED_ORDERS).values()]) {
    const {runId, forbidden} = orders;
    const isDue =
      forbidden !== undefined &&
      !forbidden.isConfirmed &&
      update.now - forbidden.sentAt > STOP_RETRY_MILLIS;
    const run = update.read(RUNS).get(runKey(runId));
    if (isDue && run?.phase !== 'stopping') {
      const {incarnation, address} = forbidden;
      sendForbidOrder(update, orders, incarnation, address);
    }
  }
}

/** Handles the answer to an order to refuse a run. */
export function onForbidAnswered(
  update: Update,
  {runKey: key, incarnation, outcome}: PayloadOf<typeof STOP_ANSWERED>,
): void {
  const orders = update.read(UNANSWERED_ORDERS).get(key);
  const forbidden = orders?.forbidden;
  if (forbidden?.incarnation !== incarnation || forbidden.isConfirmed) {
    return;
  }
  update.emit(FLEET_EVENT, {
    event: 'forbid-answered',
    worker: forbidden.incarnation,
    subject: key,
    detail: outcome,
    millis: Math.round(update.now - forbidden.sentAt),
  });
  if (orders !== undefined && outcome === 'stopped') {
    update.write(UNANSWERED_ORDERS).set(key, {
      ...orders,
      forbidden: {...forbidden, isConfirmed: true},
    });
  }
}
