import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {type RunId, runKey} from '@samphireramp/jobs';
import {MAX_CALL_DELAY_MILLIS} from './leaseTiming';
import type {StartOrder} from './Run';

/** The start orders of a run that have no answer; each may be carried out later. */
interface UnansweredOrders {
  /** When the latest of them was sent. */
  readonly sentAt: number;
  readonly count: number;
  /** Whether their ticket is valid only for the incarnation it was issued for. */
  readonly hasTicket: boolean;
}

/** Start orders without an answer, by run key, in the order they were sent. */
export const UNANSWERED_ORDERS =
  createTableSlice<UnansweredOrders>('unanswered-orders');

/** Records that a start order was sent and has no answer yet. */
export function recordStartOrder(
  update: Update,
  {runId, ticket}: StartOrder,
): void {
  const orders = update.write(UNANSWERED_ORDERS);
  const count = 1 + (orders.get(runKey(runId))?.count ?? 0);
  orders.set(runKey(runId), {
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
