import type {Update} from '@samphireramp/kernel';
import {DEFERRED_COMMANDS, HOLDING} from './HoldingState';
import {HOLDING_EVENT} from './messages';

/** An append without an answer for this long is logged. */
const LATE_BATCH_MILLIS = 500;

/** Logs once that the batch in flight is late, and what waits for it. */
export function reportLateBatch(update: Update): void {
  const holding = update.write(HOLDING);
  const {batchInFlight: batch, latestHolderRecord} = holding.get();
  if (
    batch === undefined ||
    batch.isReportedLate ||
    update.now - batch.firstSentAt < LATE_BATCH_MILLIS
  ) {
    return;
  }
  holding.set({
    ...holding.get(),
    batchInFlight: {...batch, isReportedLate: true},
  });
  const commands =
    batch.deferredCommands.length + update.read(DEFERRED_COMMANDS).size;
  update.emit(HOLDING_EVENT, {
    event: 'journal-late',
    term: latestHolderRecord?.term ?? 0,
    holder: latestHolderRecord?.holder ?? '',
    detail: `${batch.entries.length} entries, ${commands} commands wait`,
    silentMillis: Math.round(update.now - batch.firstSentAt),
  });
}

/** Logs that a batch is durable that was late, and for how long it was. */
export function reportBatchAnswered(update: Update): void {
  const {batchInFlight: batch, latestHolderRecord} = update.read(HOLDING).get();
  if (batch?.isReportedLate) {
    update.emit(HOLDING_EVENT, {
      event: 'journal-answered',
      term: latestHolderRecord?.term ?? 0,
      holder: latestHolderRecord?.holder ?? '',
      silentMillis: Math.round(update.now - batch.firstSentAt),
    });
  }
}
