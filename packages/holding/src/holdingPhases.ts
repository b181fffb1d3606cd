import type {Update} from '@samphireramp/kernel';
import {CLAIM_RETRY_DELAY_MILLIS} from './appendTiming';
import {
  DEFERRED_COMMANDS,
  HOLDING,
  PENDING_ENTRIES,
  heldTerm,
} from './HoldingState';
import type {HolderRecord} from './HolderRecord';
import {NO_JOB_KNOWLEDGE} from './jobKnowledge';
import {
  FOLLOW_RESERVE,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_EVENT,
  type HoldingEndReason,
  READ_JOURNAL_NOW,
  UNFOLLOW_RESERVE,
} from './messages';
import {fenceReserve} from './reserveFence';
import {resetReserve} from './reserveState';

/**
 * Handles a claim that is durable. If the earlier holder may use the reserve journal, a
 * fence there comes first.
 */
export function onClaimDurable(
  update: Update,
  self: string,
  record: HolderRecord,
  endOffset: number,
  confirmedAt: number,
): void {
  const holding = update.write(HOLDING);
  const current = holding.get();
  const {term, reserveEnd} = record;
  const isFollowed = current.phase === 'claiming' && reserveEnd !== undefined;
  if (!isFollowed) {
    resetReserve(update, reserveEnd);
    update.emit(FOLLOW_RESERVE, undefined);
  }
  holding.set({
    ...current,
    phase: 'fencing',
    latestHolderRecord: record,
    holderHeardAt: update.now,
    claimDurableAt: update.now,
    nextBatchNumber: 1,
    batchInFlight: undefined,
    maxBatchEntries: Infinity,
    lastAppendAt: update.now,
    readAt: update.now,
    endOffset,
    logEndOffset: Math.max(current.logEndOffset, endOffset),
    confirmedAt,
  });
  if (reserveEnd === undefined) {
    beginHolding(update, self);
  } else {
    update.emit(HOLDING_EVENT, {event: 'fencing-began', term, holder: self});
    fenceReserve(update);
  }
}

/** Begins the holding of a host whose claim is durable and whose fence holds. */
export function beginHolding(update: Update, self: string): void {
  const holding = update.write(HOLDING);
  const current = holding.get();
  const term = current.latestHolderRecord?.term;
  if (term === undefined) {
    return;
  }
  holding.set({
    ...current,
    phase: 'holding',
    holderHeardAt: update.now,
    holdingBeganAt: update.now,
    termBeganBefore: update.now,
    requestsReadUntil: -Infinity,
    jobKnowledge: {
      ...NO_JOB_KNOWLEDGE,
      jobsUntil: current.jobKnowledge.jobsUntil,
    },
  });
  update.write(DEFERRED_COMMANDS).takeAll();
  update.emit(HOLDING_EVENT, {event: 'holding-began', term, holder: self});
  update.dispatch(HOLDING_BEGAN, {term});
}

/** Ends the holding, or the take-over before it has begun. */
export function endHolding(update: Update, reason: HoldingEndReason): void {
  const holding = update.write(HOLDING);
  const {phase, latestHolderRecord} = holding.get();
  const term = heldTerm(update);
  if (phase !== 'holding' && phase !== 'fencing') {
    return;
  }
  holding.set({
    ...holding.get(),
    phase: 'following',
    batchInFlight: undefined,
    holderHeardAt: update.now,
    nextClaimAt: update.now + CLAIM_RETRY_DELAY_MILLIS,
  });
  update.write(PENDING_ENTRIES).clear();
  update.write(DEFERRED_COMMANDS).takeAll();
  resetReserve(update, undefined);
  update.emit(UNFOLLOW_RESERVE, undefined);
  update.emit(READ_JOURNAL_NOW, undefined);
  update.emit(HOLDING_EVENT, {
    event: term === undefined ? 'fencing-ended' : 'holding-ended',
    term: latestHolderRecord?.term ?? 0,
    holder: latestHolderRecord?.holder ?? '',
    detail: reason,
  });
  if (term !== undefined) {
    update.dispatch(HOLDING_ENDED, {term, reason});
  }
}
