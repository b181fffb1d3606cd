import type {Update} from '@samphireramp/kernel';
import type {HolderRecord} from './HolderRecord';
import {
  DEFERRED_COMMANDS,
  HOLDING,
  type HoldingState,
  type JournalBatch,
  PENDING_ENTRIES,
} from './HoldingState';
import {requestsAge} from './jobKnowledge';
import type {JournalEntry} from './messages';
import {OWED_ENTRIES, RESERVE, reserveEndToState} from './reserveState';

/** What a batch has beside its holder record, and what that states. */
type BatchContent = Pick<
  JournalBatch,
  'deferredCommands' | 'isApplied' | 'isOwed' | 'reserveEnd'
> & {
  readonly entries: readonly JournalEntry[];
  /**
   * Whether later entries are pending, so that the batch is not the last of a holding
   * and tells nothing of which requests were read.
   */
  readonly isPartial: boolean;
};

/**
 * Takes the next batch, up to its limit: first what only the reserve journal has, in
 * the version that it has, then what is pending. Before the holding has begun, a batch
 * only shows that the host is up.
 */
export function takeBatch(
  update: Update,
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
): JournalBatch {
  const content = takeContent(update, holding);
  const batch = createBatch(holding, latestHolderRecord, content, update.now);
  const {maxBatchEntries} = holding;
  update.write(HOLDING).set({
    ...holding,
    nextBatchNumber: batch.number + 1,
    maxBatchEntries: content.isPartial ? maxBatchEntries : Infinity,
  });
  return batch;
}

function takeContent(update: Update, holding: HoldingState): BatchContent {
  if (holding.phase === 'fencing') {
    return {
      entries: [],
      deferredCommands: [],
      isPartial: true,
      isApplied: true,
      isOwed: false,
      reserveEnd: update.read(RESERVE).get().durableEnd,
    };
  }
  return update.read(OWED_ENTRIES).size > 0
    ? takeOwed(update, holding)
    : takePending(update, holding);
}

function takeOwed(
  update: Update,
  {maxBatchEntries}: HoldingState,
): BatchContent {
  const owed = update.write(OWED_ENTRIES);
  const isLast = owed.size <= maxBatchEntries;
  const entries = [...owed.entries()].slice(0, maxBatchEntries);
  entries.forEach(([key]) => owed.delete(key));
  return {
    entries: entries.map(([, entry]) => entry),
    deferredCommands: [],
    isPartial: true,
    isApplied: true,
    isOwed: true,
    reserveEnd: isLast
      ? reserveEndToState(update)
      : update.read(RESERVE).get().durableEnd,
  };
}

function takePending(
  update: Update,
  {maxBatchEntries}: HoldingState,
): BatchContent {
  const pendingEntries = update.write(PENDING_ENTRIES);
  const isPartial = pendingEntries.size > maxBatchEntries;
  const entries = [...pendingEntries.entries()].slice(0, maxBatchEntries);
  entries.forEach(([key]) => pendingEntries.delete(key));
  return {
    entries: entries.map(([, entry]) => entry),
    deferredCommands: isPartial
      ? []
      : update.write(DEFERRED_COMMANDS).takeAll(),
    isPartial,
    isApplied: false,
    isOwed: false,
    reserveEnd: reserveEndToState(update),
  };
}

function createBatch(
  holding: HoldingState,
  latestHolderRecord: HolderRecord,
  {entries, isPartial, ...content}: BatchContent,
  now: number,
): JournalBatch {
  const {nextBatchNumber} = holding;
  const isStopping = holding.isStopping && !isPartial;
  const requestsReadUntil = isPartial ? -Infinity : holding.requestsReadUntil;
  // A holder that resigns has recorded all, so that the next one needs no fence.
  const reserveEnd = isStopping ? undefined : content.reserveEnd;
  const record: HolderRecord = {
    ...latestHolderRecord,
    batch: nextBatchNumber,
    isResigned: isStopping,
    requestsAgeMillis: requestsAge(requestsReadUntil, holding.holderHeardAt),
    termMillis:
      holding.phase === 'holding'
        ? Math.floor(now - holding.holdingBeganAt)
        : undefined,
    reserveEnd,
  };
  return {
    ...content,
    reserveEnd,
    number: nextBatchNumber,
    entries: [{kind: 'holder', record}, ...entries],
    jobsUntil: requestsReadUntil,
    isResignation: isStopping,
    firstSentAt: now,
    isReportedLate: false,
    sentAt: undefined,
    retryAt: 0,
  };
}
