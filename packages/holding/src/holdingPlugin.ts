import {
  type PayloadOf,
  type Plugin,
  type Update,
  mergeUnregister,
} from '@samphireramp/kernel';
import type {AppendOutcome} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {
  CLAIM_RETRY_DELAY_MILLIS,
  CLAIM_TIMEOUT_MILLIS,
  MIN_APPEND_TIMEOUT_MILLIS,
  REFUSED_APPEND_RETRY_DELAY_MILLIS,
  UNANSWERED_APPEND_RETRY_DELAY_MILLIS,
} from './appendTiming';
import {applyEntry, applyReadEntries} from './applyEntries';
import {endHolding, onClaimDurable} from './holdingPhases';
import {
  type HoldingOptions,
  createClaim,
  isClaimDue,
  predecessorOf,
  termOfClaim,
} from './claimRules';
import {
  DEFERRED_COMMANDS,
  HOLDING,
  type HoldingState,
  DURABLE_PROGRESS,
  FLUSH_JOURNAL,
  PENDING_ENTRIES,
} from './HoldingState';
import {splitBatch} from './batchSplitting';
import {
  isHeartbeatDue,
  resendIfDue,
  scheduleResend,
  sendBatch,
  sendFencingHeartbeat,
} from './journalAppends';
import {takeBatch} from './journalBatch';
import {reportBatchAnswered, reportLateBatch} from './lateBatch';
import {DURABLE_LEASE_BOUNDS} from './leaseBounds';
import {
  APPEND_JOURNAL,
  FOLLOW_RESERVE,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_EVENT,
  HOLDING_FENCED,
  HOLDING_TICK,
  READ_JOURNAL_NOW,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  type JournalRead,
  PROGRESS_DURABLE,
  PROGRESS_TOO_LARGE,
  RESERVE_APPEND_ENDED,
  RESERVE_READ,
  RESERVE_READ_FAILED,
  RESIGN,
  UNFOLLOW_RESERVE,
} from './messages';
import {createReserveHandlers} from './reserveHandlers';
import {
  OWED_ENTRIES,
  RESERVE,
  RESERVE_COPY,
  changeReserve,
  ownTerm,
  resetReserve,
} from './reserveState';
import {flushReserve, reportSettled, takeBackReserveBatch} from './reserveUse';

/** Claims the site for this host, and writes the journal while it holds it. */
export function createHoldingPlugin(options: HoldingOptions): Plugin {
  const {self, incarnation} = options;
  const reserve = createReserveHandlers(options);

  function sendClaim(update: Update, holding: HoldingState): void {
    const record = createClaim(
      options,
      holding.endOffset,
      holding.latestHolderRecord?.reserveEnd,
    );
    update.write(HOLDING).set({
      ...holding,
      phase: 'claiming',
      // The claim takes effect only if the journal ends where this copy does.
      predecessor: predecessorOf(holding),
      lastAppendAt: update.now,
      appendCount: holding.appendCount + 1,
      nextClaimAt: update.now + CLAIM_TIMEOUT_MILLIS + CLAIM_RETRY_DELAY_MILLIS,
    });
    if (record.reserveEnd !== undefined) {
      // What it has is read by the time the claim is durable.
      resetReserve(update, record.reserveEnd);
      update.emit(FOLLOW_RESERVE, undefined);
    }
    update.emit(HOLDING_EVENT, {
      event: 'claim-sent',
      term: record.term,
      holder: holding.latestHolderRecord?.holder ?? '',
      silentMillis: Math.round(update.now - holding.holderHeardAt),
    });
    update.emit(APPEND_JOURNAL, {
      append: holding.appendCount,
      expectedEnd: holding.endOffset,
      entries: [{kind: 'holder', record}],
      timeoutMillis: CLAIM_TIMEOUT_MILLIS,
    });
  }

  function flushJournal(update: Update): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    if (current.latestHolderRecord === undefined) {
      return;
    }
    if (current.phase === 'fencing') {
      sendFencingHeartbeat(update, current, current.latestHolderRecord);
      return;
    }
    if (current.phase !== 'holding') {
      return;
    }
    if (current.batchInFlight !== undefined) {
      resendIfDue(update, current, current.batchInFlight);
      flushReserve(update);
      return;
    }
    const isIdle =
      update.read(PENDING_ENTRIES).size === 0 &&
      update.read(OWED_ENTRIES).size === 0 &&
      update.read(DEFERRED_COMMANDS).size === 0;
    if (isIdle && !isHeartbeatDue(update, current) && !current.isStopping) {
      return;
    }
    const batch = takeBatch(update, current, current.latestHolderRecord);
    sendBatch(update, batch, MIN_APPEND_TIMEOUT_MILLIS);
  }

  /** Applies the batch in flight, which is durable, up to `endOffset`. */
  function commitBatch(
    update: Update,
    endOffset: number,
    completeUntil: number,
  ): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    const batch = current.batchInFlight;
    if (batch === undefined) {
      return;
    }
    reportBatchAnswered(update);
    takeBackReserveBatch(update);
    changeReserve(update, {durableEnd: batch.reserveEnd});
    if (batch.isOwed && update.read(OWED_ENTRIES).size === 0) {
      reportSettled(update, batch);
    }
    if (!batch.isApplied) {
      batch.entries.forEach(entry => applyEntry(update, entry));
    }
    holding.set({
      ...current,
      batchInFlight: undefined,
      endOffset,
      logEndOffset: Math.max(current.logEndOffset, endOffset),
      completeUntil: Math.max(current.completeUntil, completeUntil),
      confirmedAt: Math.max(current.confirmedAt, completeUntil),
      jobsCompleteUntil: Math.max(current.jobsCompleteUntil, batch.jobsUntil),
      holderHeardAt: update.now,
      readAt: update.now,
    });
    if (!batch.isApplied) {
      update.dispatch(PROGRESS_DURABLE, {entries: batch.entries});
    }
    for (const {command, payload} of batch.deferredCommands) {
      update.dispatch(command, payload);
    }
    if (batch.isResignation) {
      endHolding(update, 'resigned');
      return;
    }
    flushJournal(update);
  }

  function onClaimAppended(update: Update, outcome: AppendOutcome): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    if (outcome.kind === 'appended') {
      const {reserveEnd} = current.latestHolderRecord ?? {};
      onClaimDurable(
        update,
        self,
        createClaim(options, outcome.offset, reserveEnd),
        outcome.endOffset,
        current.lastAppendAt,
      );
      return;
    }
    const nextClaimAt = update.now + CLAIM_RETRY_DELAY_MILLIS;
    holding.set({...current, phase: 'following', nextClaimAt});
    update.emit(UNFOLLOW_RESERVE, undefined);
    update.emit(READ_JOURNAL_NOW, undefined);
    update.emit(HOLDING_EVENT, {
      event: 'claim-failed',
      term: current.endOffset,
      holder: current.latestHolderRecord?.holder ?? '',
      detail: outcome.kind,
    });
  }

  function onAppended(
    update: Update,
    {append, outcome}: PayloadOf<typeof JOURNAL_APPEND_ENDED>,
  ): void {
    const holding = update.read(HOLDING).get();
    const {phase, batchInFlight, appendCount} = holding;
    if (append !== appendCount - 1) {
      return;
    }
    if (phase === 'claiming') {
      onClaimAppended(update, outcome);
      return;
    }
    if (ownTerm(holding) === undefined || batchInFlight === undefined) {
      return;
    }
    match(outcome)
      .with({kind: 'appended'}, appended =>
        // The journal ended at this host's copy when the append took effect.
        commitBatch(
          update,
          appended.endOffset,
          batchInFlight.sentAt ?? -Infinity,
        ),
      )
      // Either an unanswered append made the batch durable, or another host has
      // claimed the site. It is not resent until the journal tells which.
      .with({kind: 'conflict'}, () => {
        scheduleResend(update, Infinity);
        update.emit(READ_JOURNAL_NOW, undefined);
      })
      .with({kind: 'refused'}, () =>
        scheduleResend(update, REFUSED_APPEND_RETRY_DELAY_MILLIS),
      )
      .with({kind: 'too-large'}, ({detail}) =>
        splitBatch(update, self, batchInFlight, detail),
      )
      .with({kind: 'unknown'}, () =>
        scheduleResend(update, UNANSWERED_APPEND_RETRY_DELAY_MILLIS),
      )
      .exhaustive();
  }

  function onRead(update: Update, read: JournalRead): void {
    const previous = update.read(HOLDING).get();
    if (ownTerm(previous) !== undefined) {
      onReadAfterClaim(update, read);
      return;
    }
    applyReadEntries(update, read);
    const {endOffset: knownEndOffset} = previous;
    const {latestHolderRecord, endOffset} = update.read(HOLDING).get();
    // A claim whose answer was lost may be in the journal all the same. If this
    // read finds it, the holding begins.
    const hasNewEntries = read.entries.some(
      ({offset}) => offset >= knownEndOffset,
    );
    const isOwnClaim =
      latestHolderRecord?.incarnation === incarnation &&
      latestHolderRecord.batch === 0 &&
      latestHolderRecord.term >= termOfClaim(knownEndOffset);
    if (hasNewEntries && isOwnClaim && latestHolderRecord !== undefined) {
      // A later claim may have been sent, which proves nothing.
      onClaimDurable(update, self, latestHolderRecord, endOffset, -Infinity);
    }
  }

  // A new holder record is that of the batch in flight or another host's claim.
  function onReadAfterClaim(update: Update, read: JournalRead): void {
    const {endOffset: knownEndOffset, batchInFlight} = update
      .read(HOLDING)
      .get();
    for (const {offset, entry} of read.entries) {
      if (offset < knownEndOffset || entry.kind !== 'holder') {
        continue;
      }
      if (entry.record.incarnation !== incarnation) {
        endHolding(update, 'other-claim');
        break;
      }
      if (entry.record.batch === batchInFlight?.number) {
        commitBatch(update, offset + batchInFlight.entries.length, -Infinity);
      }
    }
    // No later read returns these entries.
    if (ownTerm(update.read(HOLDING).get()) === undefined) {
      applyReadEntries(update, read);
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(HOLDING),
      kernel.registerSlice(DURABLE_PROGRESS),
      kernel.registerSlice(DURABLE_LEASE_BOUNDS),
      kernel.registerSlice(PENDING_ENTRIES),
      kernel.registerSlice(DEFERRED_COMMANDS),
      kernel.registerSlice(RESERVE),
      kernel.registerSlice(RESERVE_COPY),
      kernel.registerSlice(OWED_ENTRIES),
      kernel.registerCommand(FLUSH_JOURNAL, update => flushJournal(update)),
      kernel.registerCommand(JOURNAL_READ, onRead),
      kernel.registerCommand(JOURNAL_APPEND_ENDED, onAppended),
      kernel.registerCommand(RESERVE_READ, reserve.onRead),
      kernel.registerCommand(RESERVE_READ_FAILED, reserve.onReadFailed),
      kernel.registerCommand(RESERVE_APPEND_ENDED, reserve.onAppended),
      kernel.registerCommand(HOLDING_BEGAN, () => undefined),
      kernel.registerCommand(HOLDING_ENDED, () => undefined),
      kernel.registerCommand(PROGRESS_DURABLE, () => undefined),
      kernel.registerCommand(PROGRESS_TOO_LARGE, () => undefined),
      kernel.registerCommand(HOLDING_FENCED, update =>
        endHolding(update, 'fenced-by-worker'),
      ),
      kernel.registerCommand(RESIGN, update => {
        const holding = update.write(HOLDING);
        holding.set({...holding.get(), isStopping: true});
        flushJournal(update);
      }),
      kernel.registerCommand(HOLDING_TICK, update => {
        const holding = update.read(HOLDING).get();
        if (isClaimDue(options, holding, update.now)) {
          sendClaim(update, holding);
        }
        reportLateBatch(update);
        reserve.onTick(update);
        flushJournal(update);
      }),
    );
}
