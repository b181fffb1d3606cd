import type {Update} from '@samphireramp/kernel';
import type {HolderRecord} from './HolderRecord';
import {
  DEFERRED_COMMANDS,
  type DeferredCommand,
  HOLDING,
  type HoldingState,
  type JournalBatch,
  PENDING_ENTRIES,
} from './HoldingState';
import {requestsAge} from './jobKnowledge';
import type {JournalEntry} from './messages';

/** Takes the next batch of a holding, up to its limit, from what is pending. */
export function takeBatch(
  update: Update,
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
): JournalBatch {
  const {maxBatchEntries} = holding;
  const pendingEntries = update.write(PENDING_ENTRIES);
  const isPartial = pendingEntries.size > maxBatchEntries;
  const entries = [...pendingEntries.entries()].slice(0, maxBatchEntries);
  const batch = createBatch(
    holding,
    latestHolderRecord,
    entries.map(([, entry]) => entry),
    isPartial ? [] : update.write(DEFERRED_COMMANDS).takeAll(),
    isPartial,
    update.now,
  );
  entries.forEach(([key]) => pendingEntries.delete(key));
  update.write(HOLDING).set({
    ...holding,
    nextBatchNumber: batch.number + 1,
    maxBatchEntries: isPartial ? maxBatchEntries : Infinity,
  });
  return batch;
}

/**
 * Creates the next batch of a holding from the entries that are pending. If it has
 * only the first of them, it is not the last of a holding and tells nothing of
 * which requests were read.
 */
function createBatch(
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
  pendingEntries: readonly JournalEntry[],
  deferredCommands: readonly DeferredCommand[],
  isPartial: boolean,
  now: number,
): JournalBatch {
  const {nextBatchNumber} = holding;
  const isStopping = holding.isStopping && !isPartial;
  const requestsReadUntil = isPartial ? -Infinity : holding.requestsReadUntil;
  const record: HolderRecord = {
    ...latestHolderRecord,
    batch: nextBatchNumber,
    isResigned: isStopping,
    requestsAgeMillis: requestsAge(requestsReadUntil, holding.holderHeardAt),
    termMillis: Math.floor(now - holding.holdingBeganAt),
  };
  return {
    number: nextBatchNumber,
    entries: [{kind: 'holder', record}, ...pendingEntries],
    deferredCommands,
    jobsUntil: requestsReadUntil,
    isResignation: isStopping,
    firstSentAt: now,
    isReportedLate: false,
    sentAt: undefined,
    retryAt: 0,
  };
}
