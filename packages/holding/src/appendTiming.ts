/** Delay before a batch that the log refused is sent again. */
export const REFUSED_APPEND_RETRY_DELAY_MILLIS = 40;
/** Delay before a batch that the log did not answer is sent again. */
export const UNANSWERED_APPEND_RETRY_DELAY_MILLIS = 5;
/** Timeout of a first append; resends add the time since the log answered. */
export const MIN_APPEND_TIMEOUT_MILLIS = 350;
/** Upper bound of the timeout of a resent append. */
const MAX_APPEND_TIMEOUT_MILLIS = 2000;
/** A claim is not resent, unlike a batch: its timeout allows for a slow log. */
export const CLAIM_TIMEOUT_MILLIS = 1500;

/** Delay before this host claims again after a claim or a holding of it. */
export const CLAIM_RETRY_DELAY_MILLIS = 250;
/** Timeout of a resent append: longer the longer the log has not answered. */
export function appendTimeoutMillis(silentMillis: number): number {
  return Math.min(
    MAX_APPEND_TIMEOUT_MILLIS,
    MIN_APPEND_TIMEOUT_MILLIS + silentMillis,
  );
}
