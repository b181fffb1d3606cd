import {
  type Command,
  type StateReader,
  type Update,
  createCommand,
  createListSlice,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import type {Progress} from '@samphireramp/jobs';
import type {JournalEntry} from './messages';
import {EMPTY_COPY, type StreamCopy} from './streamCopy';

/** Journal entries that are appended together, headed by a holder record. */
export interface JournalBatch {
  /** Number of the batch within its term, as in its holder record. */
  readonly number: number;
  readonly entries: readonly JournalEntry[];
  /** Whether the reserve journal has its entries, so that they were applied. */
  readonly isApplied: boolean;
  /** Whether its entries are those that the reserve journal alone had. */
  readonly isOwed: boolean;
  /** `reserveEnd` of its holder record. */
  readonly reserveEnd: number | undefined;
  /** Commands to dispatch once the batch is durable. */
  readonly deferredCommands: readonly DeferredCommand[];
  /** Once it is durable, all jobs requested before this time are. */
  readonly jobsUntil: number;
  /** Whether the holding ends once the batch is durable. */
  readonly isResignation: boolean;
  /** When the append was sent for the first time. */
  readonly firstSentAt: number;
  /** Whether it was logged that the append is without an answer. */
  readonly isReportedLate: boolean;
  /** When the append was last sent; undefined if the batch is to be resent. */
  readonly sentAt: number | undefined;
  /** Earliest time to resend it; Infinity until the journal was read again. */
  readonly retryAt: number;
}

/** A command to dispatch once the entries recorded before it are durable. */
export interface DeferredCommand {
  readonly command: Command<unknown>;
  readonly payload: unknown;
}

/** What a host knows of the holding before its own, on its own clock. */
export interface Predecessor {
  /** Undefined if there was none. */
  readonly term: number | undefined;
  /** It began before this time. */
  readonly beganBefore: number;
  /** When its newest record was read, which was durable by then. */
  readonly heardAt: number;
}

/** What this host knows of the journal and of the holder of the site. */
export interface HoldingState extends StreamCopy {
  /** `fencing`: the claim is durable, the fence in the reserve journal is not. */
  readonly phase: 'following' | 'claiming' | 'fencing' | 'holding';
  /** The holder has read every request that was appended before this time. */
  readonly requestsReadUntil: number;
  /** Earliest time at which this host may claim the site. */
  readonly nextClaimAt: number;
  /** Whether this host is shutting down: it resigns and claims no more. */
  readonly isStopping: boolean;
  /** When this host's latest holding began. */
  readonly holdingBeganAt: number;
  /** When the latest claim of this host was known to be durable. */
  readonly claimDurableAt: number;
  /** The holding of the newest holder record began before this time. */
  readonly termBeganBefore: number;
  /** The holding before the latest claim of this host. */
  readonly predecessor: Predecessor;
  /**
   * When this holder sent the newest append that is known to be durable. Another
   * host may have claimed the site since.
   */
  readonly confirmedAt: number;
  /** Number of the next batch of this holding; batch 0 is the claim. */
  readonly nextBatchNumber: number;
  /** The batch that is being appended; at most one at a time. */
  readonly batchInFlight: JournalBatch | undefined;
  /** Most entries of a batch; less than all pending ones after one too large. */
  readonly maxBatchEntries: number;
  /** When a claim or a batch was last sent to the log. */
  readonly lastAppendAt: number;
  /**
   * Number of appends sent, in all holdings of this process. The outcome of any but
   * the newest says nothing of what is in flight.
   */
  readonly appendCount: number;
}

const INITIAL_STATE: HoldingState = {
  ...EMPTY_COPY,
  phase: 'following',
  requestsReadUntil: -Infinity,
  nextClaimAt: 0,
  isStopping: false,
  holdingBeganAt: 0,
  claimDurableAt: 0,
  termBeganBefore: Infinity,
  predecessor: {term: undefined, beganBefore: Infinity, heardAt: 0},
  confirmedAt: -Infinity,
  nextBatchNumber: 1,
  batchInFlight: undefined,
  maxBatchEntries: Infinity,
  lastAppendAt: 0,
  appendCount: 0,
};

/** The state of the holding, as this host knows it. */
export const HOLDING = createValueSlice<HoldingState>('holding', INITIAL_STATE);

/** Durable progress of each job, by job id. */
export const DURABLE_PROGRESS = createTableSlice<Progress>('job-views');

/** Entries for the next batch; a newer entry replaces an older with its key. */
export const PENDING_ENTRIES = createTableSlice<JournalEntry>('unwritten');

/** Commands to dispatch once the next batch is durable. */
export const DEFERRED_COMMANDS =
  createListSlice<DeferredCommand>('deferred-commands');

/** The term of this host's holding; undefined if it is not the holder. */
export function heldTerm(state: StateReader): number | undefined {
  const {phase, latestHolderRecord} = state.read(HOLDING).get();
  return phase === 'holding' ? latestHolderRecord?.term : undefined;
}

/** Appends pending entries to the journal, after the batch in flight if any. */
export const FLUSH_JOURNAL = createCommand<void>('journal-due');

/** Adds an entry to the next batch, in place of an older one with its key. */
export function setPendingEntry(update: Update, entry: JournalEntry): void {
  update.write(PENDING_ENTRIES).set(pendingKeyOf(entry), entry);
}

/** Key of the newest holder record. */
export const HOLDER_KEY = 'holder';

/** Returns the key of an entry among the pending ones: what it is about. */
export function pendingKeyOf(entry: JournalEntry): string {
  // Each change of a job comes here: matching patterns costs more than the rest.
  switch (entry.kind) {
    case 'holder':
      return HOLDER_KEY;
    case 'progress':
      return entry.progress.jobId;
    case 'forgotten':
      return entry.jobId;
    case 'lease-bound':
      return `lease.${entry.bound.incarnation}`;
    case 'lease-bound-lifted':
      return `lease.${entry.incarnation}`;
  }
}

/**
 * Records the progress of a job, to be appended with the next batch. On a
 * follower this does nothing: an entry kept until a later term would write a
 * decision that was made without holding the site.
 */
export function recordProgress(update: Update, progress: Progress): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  setPendingEntry(update, {kind: 'progress', progress});
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}

/**
 * Records that this holder has taken in every request that was appended before
 * `readUntil`. On a follower this does nothing.
 */
export function recordRequestsRead(update: Update, readUntil: number): void {
  if (heldTerm(update) !== undefined) {
    const holding = update.write(HOLDING);
    holding.set({...holding.get(), requestsReadUntil: readUntil});
  }
}

/**
 * Records that a job is deleted from the journal, with the next batch. On a
 * follower this does nothing.
 */
export function recordForgottenJob(update: Update, jobId: string): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  setPendingEntry(update, {kind: 'forgotten', jobId});
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}

/**
 * Dispatches a command once everything recorded so far is durable. The command
 * is dropped if the holding ends first; on a follower this does nothing.
 */
export function dispatchWhenDurable<Payload>(
  update: Update,
  command: Command<Payload>,
  payload: Payload,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  update
    .write(DEFERRED_COMMANDS)
    .append({command: command as Command<unknown>, payload});
  update.dispatchOnce(FLUSH_JOURNAL, '', undefined);
}
