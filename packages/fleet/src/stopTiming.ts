/** Timeout of an order to stop or to refuse a run. */
export const STOP_TIMEOUT_MILLIS = 500;
/** Delay before such an order is repeated if it had no effect by then. */
export const STOP_RETRY_MILLIS = 700;
/** The same if a task waits for the order to be confirmed. */
export const AWAITED_STOP_RETRY_MILLIS = 150;
