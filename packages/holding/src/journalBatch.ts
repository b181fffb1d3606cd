import type {HolderRecord} from './HolderRecord';
import type {DeferredCommand, HoldingState, JournalBatch} from './HoldingState';
import {requestsAge} from './jobKnowledge';
import type {JournalEntry} from './messages';

/** Creates the next batch of a holding from the entries that are pending. */
export function createBatch(
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
  pendingEntries: readonly JournalEntry[],
  deferredCommands: readonly DeferredCommand[],
): JournalBatch {
  const {nextBatchNumber, isStopping, requestsReadUntil} = holding;
  const record: HolderRecord = {
    ...latestHolderRecord,
    batch: nextBatchNumber,
    isResigned: isStopping,
    requestsAgeMillis: requestsAge(requestsReadUntil, holding.holderHeardAt),
  };
  return {
    number: nextBatchNumber,
    entries: [{kind: 'holder', record}, ...pendingEntries],
    deferredCommands,
    jobsUntil: requestsReadUntil,
    isResignation: isStopping,
    sentAt: undefined,
    retryAt: 0,
  };
}
