import type {Update} from '@samphireramp/kernel';
import {MIN_APPEND_TIMEOUT_MILLIS, appendTimeoutMillis} from './appendTiming';
import type {HolderRecord} from './HolderRecord';
import {HOLDING, type HoldingState, type JournalBatch} from './HoldingState';
import {takeBatch} from './journalBatch';
import {APPEND_JOURNAL} from './messages';

/** Interval at which an idle holder appends a holder record as a heartbeat. */
export const HEARTBEAT_INTERVAL_MILLIS = 150;
/**
 * Time after its claim from which a host that still fences the reserve journal sends no
 * more heartbeats: others may reach it.
 */
const MAX_FENCING_MILLIS = 3000;

/** Whether the holder must show that it is up. */
export function isHeartbeatDue(
  update: Update,
  {lastAppendAt}: HoldingState,
): boolean {
  return update.now - lastAppendAt >= HEARTBEAT_INTERVAL_MILLIS;
}

/** Shows other hosts that this one still fences, unless it should give way. */
export function sendFencingHeartbeat(
  update: Update,
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
): void {
  const {batchInFlight, isStopping, claimDurableAt} = holding;
  if (isStopping || update.now - claimDurableAt > MAX_FENCING_MILLIS) {
    return;
  }
  if (batchInFlight !== undefined) {
    resendIfDue(update, holding, batchInFlight);
  } else if (isHeartbeatDue(update, holding)) {
    const batch = takeBatch(update, holding, latestHolderRecord);
    sendBatch(update, batch, MIN_APPEND_TIMEOUT_MILLIS);
  }
}

/** Sends a batch, which is the one in flight from then on. */
export function sendBatch(
  update: Update,
  batch: JournalBatch,
  timeoutMillis: number,
): void {
  const holding = update.write(HOLDING);
  const current = holding.get();
  holding.set({
    ...current,
    batchInFlight: {...batch, sentAt: update.now},
    lastAppendAt: update.now,
    appendCount: current.appendCount + 1,
  });
  update.emit(APPEND_JOURNAL, {
    append: current.appendCount,
    expectedEnd: current.endOffset,
    entries: batch.entries,
    timeoutMillis,
  });
}

/** Sends the batch in flight again, if that is due. */
export function resendIfDue(
  update: Update,
  holding: HoldingState,
  batch: JournalBatch,
): void {
  if (batch.sentAt === undefined && update.now >= batch.retryAt) {
    sendBatch(update, batch, appendTimeoutMillis(update.now - holding.readAt));
  }
}

/** Lets the batch in flight be sent again after a time. */
export function scheduleResend(update: Update, millis: number): void {
  const holding = update.write(HOLDING);
  const current = holding.get();
  if (current.batchInFlight !== undefined) {
    const retryAt = update.now + millis;
    const batchInFlight = {
      ...current.batchInFlight,
      sentAt: undefined,
      retryAt,
    };
    holding.set({...current, batchInFlight});
  }
}
