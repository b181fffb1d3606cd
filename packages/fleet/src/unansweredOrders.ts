import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {heldTerm} from '@samphireramp/holding';
import {type RunId, runKey} from '@samphireramp/jobs';
import {FLEET_EVENT, ORDER_STOP} from './messages';
import type {Worker} from './Worker';

/** How long after it was sent a worker may still carry out a start order. */
const MAX_ORDER_DELAY_MILLIS = 15_000;
/** Timeout of an order that forbids a run. */
const FORBID_TIMEOUT_MILLIS = 500;

/** A start order that got no answer, so that it may be carried out later. */
interface UnansweredOrder {
  readonly runId: RunId;
  readonly workerId: string;
  readonly sentAt: number;
}

/** Start orders without an answer, by run key, in the order they were sent. */
export const UNANSWERED_ORDERS =
  createTableSlice<UnansweredOrder>('unanswered-orders');

/** Records that a start order got no answer. */
export function recordUnansweredOrder(
  update: Update,
  runId: RunId,
  workerId: string,
  sentAt: number,
): void {
  const orders = update.write(UNANSWERED_ORDERS);
  orders.set(runKey(runId), {runId, workerId, sentAt});
}

/** Deletes the orders that no worker can carry out any more. */
export function forgetUnansweredOrders(update: Update): void {
  const orders = update.write(UNANSWERED_ORDERS);
  for (const [key, {sentAt}] of [...orders.entries()]) {
    if (update.now - sentAt > MAX_ORDER_DELAY_MILLIS) {
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
  const term = heldTerm(update);
  if (term === undefined) {
    return;
  }
  for (const {runId, sentAt} of ordersTo(update, id)) {
    update.emit(FLEET_EVENT, {
      event: 'run-forbidden',
      worker: incarnation,
      subject: runKey(runId),
      detail: 'reborn',
      millis: Math.round(update.now - sentAt),
    });
    update.emit(ORDER_STOP, {
      runId,
      id,
      address,
      term,
      timeoutMillis: FORBID_TIMEOUT_MILLIS,
    });
  }
}

function ordersTo(state: StateReader, workerId: string): UnansweredOrder[] {
  return [...state.read(UNANSWERED_ORDERS).values()].filter(
    order => order.workerId === workerId,
  );
}
