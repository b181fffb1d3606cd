import type {StateReader, Update} from '@samphireramp/kernel';
import {DEFERRED_COMMANDS, HOLDING, type JournalBatch} from './HoldingState';
import {HOLDING_EVENT} from './messages';

/** The journal is late once it has not taken a batch for this long. */
const LATE_BATCH_MILLIS = 500;

/** Whether the journal has not taken the batch in flight for long. */
export function isJournalLate(state: StateReader, now: number): boolean {
  const {batchInFlight} = state.read(HOLDING).get();
  return (
    batchInFlight !== undefined &&
    now - batchInFlight.firstSentAt >= LATE_BATCH_MILLIS
  );
}

/** Logs once that the batch in flight is late, and what waits for it. */
export function reportLateBatch(update: Update): void {
  const holding = update.write(HOLDING);
  const {batchInFlight: batch} = holding.get();
  if (
    batch === undefined ||
    batch.isReportedLate ||
    !isJournalLate(update, update.now)
  ) {
    return;
  }
  holding.set({
    ...holding.get(),
    batchInFlight: {...batch, isReportedLate: true},
  });
  const commands =
    batch.deferredCommands.length + update.read(DEFERRED_COMMANDS).size;
  const detail = `${batch.entries.length} entries, ${commands} commands wait`;
  emitBatchEvent(update, 'journal-late', batch, detail);
}

/** Logs that a batch is durable that was late, and for how long it was. */
export function reportBatchAnswered(update: Update): void {
  const {batchInFlight: batch} = update.read(HOLDING).get();
  if (batch?.isReportedLate) {
    emitBatchEvent(update, 'journal-answered', batch);
  }
}

/** Logs an event of a batch, with the time since it was first sent. */
export function emitBatchEvent(
  update: Update,
  event:
    'journal-late' | 'journal-answered' | 'reserve-used' | 'reserve-settled',
  {firstSentAt}: JournalBatch,
  detail?: string,
): void {
  const {latestHolderRecord} = update.read(HOLDING).get();
  update.emit(HOLDING_EVENT, {
    event,
    term: latestHolderRecord?.term ?? 0,
    holder: latestHolderRecord?.holder ?? '',
    detail,
    silentMillis: Math.round(update.now - firstSentAt),
  });
}
