import {
  type PayloadOf,
  type Plugin,
  type Update,
  mergeUnregister,
} from '@samphireramp/kernel';
import type {AppendOutcome} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {applyEntry, applyRead} from './applyEntries';
import {type HoldingOptions, isClaimDue, termOfClaim} from './claimRules';
import type {HolderRecord} from './HolderRecord';
import {
  type Batch,
  HOLDING,
  type HoldingState,
  DURABLE_PROGRESS,
  JOURNAL_DUE,
  UNWRITTEN,
  heldTerm,
} from './HoldingState';
import {
  APPEND_JOURNAL,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_EVENT,
  HOLDING_FENCED,
  HOLDING_TICK,
  READ_JOURNAL_NOW,
  type HoldingEndReason,
  JOURNAL_APPENDED,
  JOURNAL_READ,
  type JournalEntry,
  type StoredEntry,
  RESIGN,
} from './messages';

/** An idle holder writes this often. */
export const HEARTBEAT_MILLIS = 150;
const CLAIM_RETRY_MILLIS = 250;
const REFUSED_RETRY_MILLIS = 40;
const UNKNOWN_RETRY_MILLIS = 5;
/** First wait for the answer to an append; slow answers lengthen it. */
const APPEND_TIMEOUT_MILLIS = 350;
const LONGEST_APPEND_TIMEOUT_MILLIS = 2000;
/** A claim is asked for once, with time for a slow log. */
const CLAIM_TIMEOUT_MILLIS = 1500;

/** Decides who holds the site, and writes the holder's journal. */
export function createHoldingPlugin(options: HoldingOptions): Plugin {
  const {self, incarnation} = options;

  function claim(update: Update, holding: HoldingState): void {
    const record: HolderRecord = {
      holder: self,
      incarnation,
      term: termOfClaim(holding.end),
      batch: 0,
      isResigned: false,
    };
    update.write(HOLDING).set({
      ...holding,
      phase: 'claiming',
      nextClaimAt: update.now + CLAIM_TIMEOUT_MILLIS + CLAIM_RETRY_MILLIS,
    });
    update.emit(HOLDING_EVENT, {
      event: 'claim-sent',
      term: record.term,
      holder: holding.latest?.holder ?? '',
      silentMillis: Math.round(update.now - holding.holderHeardAt),
    });
    update.emit(APPEND_JOURNAL, {
      batch: 0,
      expectedEnd: holding.end,
      entries: [{kind: 'holder', record}],
      timeoutMillis: CLAIM_TIMEOUT_MILLIS,
    });
  }

  function begin(update: Update, record: HolderRecord, end: number): void {
    const holding = update.write(HOLDING);
    holding.set({
      ...holding.get(),
      phase: 'holding',
      latest: record,
      holderHeardAt: update.now,
      journalReadAt: update.now,
      end,
      beganAt: update.now,
      nextBatch: 1,
      inFlight: undefined,
      lastAppendAt: update.now,
      followUps: [],
    });
    update.emit(HOLDING_EVENT, {
      event: 'holding-began',
      term: record.term,
      holder: self,
    });
    update.dispatch(HOLDING_BEGAN, {term: record.term});
  }

  function end(update: Update, reason: HoldingEndReason): void {
    const holding = update.write(HOLDING);
    const term = heldTerm(update);
    if (term === undefined) {
      return;
    }
    holding.set({
      ...holding.get(),
      phase: 'following',
      inFlight: undefined,
      followUps: [],
      holderHeardAt: update.now,
      nextClaimAt: update.now + CLAIM_RETRY_MILLIS,
    });
    update.write(UNWRITTEN).clear();
    update.emit(READ_JOURNAL_NOW, undefined);
    update.emit(HOLDING_EVENT, {
      event: 'holding-ended',
      term,
      holder: holding.get().latest?.holder ?? '',
      detail: reason,
    });
    update.dispatch(HOLDING_ENDED, {term, reason});
  }

  function write(update: Update): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    if (current.phase !== 'holding' || current.latest === undefined) {
      return;
    }
    if (current.inFlight !== undefined) {
      sendAgain(update, current, current.inFlight);
      return;
    }
    const unwritten = update.write(UNWRITTEN);
    const isIdle = unwritten.size === 0 && current.followUps.length === 0;
    const isBeatDue = update.now - current.lastAppendAt >= HEARTBEAT_MILLIS;
    if (isIdle && !isBeatDue && !current.isStopping) {
      return;
    }
    const record: HolderRecord = {
      ...current.latest,
      batch: current.nextBatch,
      isResigned: current.isStopping,
    };
    const entries: JournalEntry[] = [
      {kind: 'holder', record},
      ...unwritten.values(),
    ];
    unwritten.clear();
    const batch: Batch = {
      number: record.batch,
      entries,
      followUps: current.followUps,
      isResignation: current.isStopping,
      sentAt: undefined,
      retryAt: 0,
    };
    holding.set({...current, nextBatch: record.batch + 1, followUps: []});
    send(update, batch, APPEND_TIMEOUT_MILLIS);
  }

  function send(update: Update, batch: Batch, timeoutMillis: number): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    holding.set({
      ...current,
      inFlight: {...batch, sentAt: update.now},
      lastAppendAt: update.now,
    });
    update.emit(APPEND_JOURNAL, {
      batch: batch.number,
      expectedEnd: current.end,
      entries: batch.entries,
      timeoutMillis,
    });
  }

  function sendAgain(
    update: Update,
    holding: HoldingState,
    batch: Batch,
  ): void {
    if (batch.sentAt === undefined && update.now >= batch.retryAt) {
      send(update, batch, timeoutAfter(update.now - holding.journalReadAt));
    }
  }

  function commit(update: Update, newEnd: number): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    const batch = current.inFlight;
    if (batch === undefined) {
      return;
    }
    for (const entry of batch.entries) {
      applyEntry(update, entry);
    }
    holding.set({
      ...current,
      inFlight: undefined,
      end: newEnd,
      holderHeardAt: update.now,
      journalReadAt: update.now,
    });
    for (const {command, payload} of batch.followUps) {
      update.dispatch(command, payload);
    }
    if (batch.isResignation) {
      end(update, 'resigned');
      return;
    }
    write(update);
  }

  function holdBack(update: Update, millis: number): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    if (current.inFlight !== undefined) {
      const retryAt = update.now + millis;
      const inFlight = {...current.inFlight, sentAt: undefined, retryAt};
      holding.set({...current, inFlight});
    }
  }

  function onClaimAnswer(update: Update, outcome: AppendOutcome): void {
    const holding = update.write(HOLDING);
    const current = holding.get();
    if (current.phase !== 'claiming') {
      return;
    }
    if (outcome.kind === 'appended') {
      const record: HolderRecord = {
        holder: self,
        incarnation,
        term: termOfClaim(outcome.offset),
        batch: 0,
        isResigned: false,
      };
      begin(update, record, outcome.end);
      return;
    }
    const nextClaimAt = update.now + CLAIM_RETRY_MILLIS;
    holding.set({...current, phase: 'following', nextClaimAt});
    update.emit(READ_JOURNAL_NOW, undefined);
    update.emit(HOLDING_EVENT, {
      event: 'claim-failed',
      term: current.end,
      holder: current.latest?.holder ?? '',
      detail: outcome.kind,
    });
  }

  function onAppended(
    update: Update,
    {batch, outcome}: {batch: number; outcome: AppendOutcome},
  ): void {
    const {phase, inFlight} = update.read(HOLDING).get();
    if (batch === 0) {
      onClaimAnswer(update, outcome);
      return;
    }
    if (phase !== 'holding' || inFlight?.number !== batch) {
      return;
    }
    match(outcome)
      .with({kind: 'appended'}, appended => commit(update, appended.end))
      // Either this batch is done already or another host has claimed: the
      // journal itself tells, and the append waits for that.
      .with({kind: 'conflict'}, () => {
        holdBack(update, Infinity);
        update.emit(READ_JOURNAL_NOW, undefined);
      })
      .with({kind: 'refused'}, () => holdBack(update, REFUSED_RETRY_MILLIS))
      .with({kind: 'unknown'}, () => holdBack(update, UNKNOWN_RETRY_MILLIS))
      .exhaustive();
  }

  function onRead(update: Update, read: PayloadOf<typeof JOURNAL_READ>): void {
    const {phase, end: knownEnd} = update.read(HOLDING).get();
    if (phase === 'holding') {
      onReadWhileHolding(update, read.entries, read.end);
      return;
    }
    applyRead(update, read.entries, read.end, read.isSnapshot);
    const {latest} = update.read(HOLDING).get();
    // A claim of this process whose answer was lost, found in the journal.
    const isNew = read.entries.some(({offset}) => offset >= knownEnd);
    const isOwn =
      latest?.incarnation === incarnation &&
      latest.batch === 0 &&
      latest.term >= termOfClaim(knownEnd);
    if (isNew && isOwn && latest !== undefined) {
      begin(update, latest, update.read(HOLDING).get().end);
    }
  }

  function onReadWhileHolding(
    update: Update,
    entries: readonly StoredEntry[],
    readEnd: number,
  ): void {
    const {end: knownEnd, inFlight} = update.read(HOLDING).get();
    for (const {offset, entry} of entries) {
      if (offset < knownEnd || entry.kind !== 'holder') {
        continue;
      }
      if (entry.record.incarnation !== incarnation) {
        end(update, 'other-claim');
        applyRead(update, entries, readEnd, false);
        return;
      }
      if (inFlight !== undefined && entry.record.batch === inFlight.number) {
        commit(update, offset + inFlight.entries.length);
        return;
      }
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(HOLDING),
      kernel.registerSlice(DURABLE_PROGRESS),
      kernel.registerSlice(UNWRITTEN),
      kernel.registerCommand(JOURNAL_DUE, update => write(update)),
      kernel.registerCommand(JOURNAL_READ, onRead),
      kernel.registerCommand(JOURNAL_APPENDED, onAppended),
      kernel.registerCommand(HOLDING_BEGAN, () => undefined),
      kernel.registerCommand(HOLDING_ENDED, () => undefined),
      kernel.registerCommand(HOLDING_FENCED, update =>
        end(update, 'fenced-by-worker'),
      ),
      kernel.registerCommand(RESIGN, update => {
        const holding = update.write(HOLDING);
        holding.set({...holding.get(), isStopping: true});
        write(update);
      }),
      kernel.registerCommand(HOLDING_TICK, update => {
        const holding = update.read(HOLDING).get();
        if (isClaimDue(options, holding, update.now)) {
          claim(update, holding);
        }
        write(update);
      }),
    );
}

/** Waits longer for each answer, the longer the log has been out of reach. */
function timeoutAfter(silentMillis: number): number {
  return Math.min(
    LONGEST_APPEND_TIMEOUT_MILLIS,
    APPEND_TIMEOUT_MILLIS + silentMillis,
  );
}
