import {
  type Command,
  type StateReader,
  type Update,
  createCommand,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import type {Progress} from '@samphireramp/jobs';
import type {HolderRecord} from './HolderRecord';
import type {JournalEntry} from './messages';

/** A batch on its way to the journal. */
export interface Batch {
  readonly number: number;
  readonly entries: readonly JournalEntry[];
  readonly followUps: readonly DeferredCommand[];
  readonly isResignation: boolean;
  /** When it was last sent; undefined while it waits to be sent again. */
  readonly sentAt: number | undefined;
  readonly retryAt: number;
}

/** A command that runs once what was decided before it is durable. */
export interface DeferredCommand {
  readonly command: Command<unknown>;
  readonly payload: unknown;
}

/** What this host knows about who holds the site. */
export interface HoldingState {
  readonly phase: 'following' | 'claiming' | 'holding';
  /** Whether the journal was read from its beginning. */
  readonly isCaughtUp: boolean;
  /** Offset after the last entry that was applied. */
  readonly end: number;
  readonly latest: HolderRecord | undefined;
  /** When the latest holder was last heard of through the journal. */
  readonly holderHeardAt: number;
  /** When the journal was last read with success. */
  readonly journalReadAt: number;
  readonly nextClaimAt: number;
  readonly isStopping: boolean;
  /** When this host's holding began. */
  readonly beganAt: number;
  readonly nextBatch: number;
  readonly inFlight: Batch | undefined;
  readonly lastAppendAt: number;
  readonly followUps: readonly DeferredCommand[];
}

const INITIAL: HoldingState = {
  phase: 'following',
  isCaughtUp: false,
  end: 0,
  latest: undefined,
  holderHeardAt: 0,
  journalReadAt: -Infinity,
  nextClaimAt: 0,
  isStopping: false,
  beganAt: 0,
  nextBatch: 1,
  inFlight: undefined,
  lastAppendAt: 0,
  followUps: [],
};

/** Who holds the site. */
export const HOLDING = createValueSlice<HoldingState>('holding', INITIAL);

/** Progress of jobs that is durable, by job. */
export const DURABLE_PROGRESS = createTableSlice<Progress>('job-views');

/** Entries that wait for the next batch, by job. */
export const UNWRITTEN = createTableSlice<JournalEntry>('unwritten');

/** The term that this host holds under; undefined if it does not hold. */
export function heldTerm(state: StateReader): number | undefined {
  const {phase, latest} = state.read(HOLDING).get();
  return phase === 'holding' ? latest?.term : undefined;
}

/** Something waits to be written to the journal. */
export const JOURNAL_DUE = createCommand<void>('journal-due');

/**
 * Has the progress of a job written with the next batch. A host that does not
 * hold the site has nothing to write, now or in a later term.
 */
export function recordProgress(update: Update, progress: Progress): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  update.write(UNWRITTEN).set(progress.jobId, {kind: 'progress', progress});
  update.dispatchOnce(JOURNAL_DUE, '', undefined);
}

/** Has a job dropped from the journal with the next batch. */
export function recordForgotten(update: Update, jobId: string): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  update.write(UNWRITTEN).set(jobId, {kind: 'forgotten', jobId});
  update.dispatchOnce(JOURNAL_DUE, '', undefined);
}

/** Runs a command once all that was recorded until now is durable. */
export function dispatchOnceDurable<Payload>(
  update: Update,
  command: Command<Payload>,
  payload: Payload,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  const holding = update.write(HOLDING);
  const current = holding.get();
  const followUp = {command: command as Command<unknown>, payload};
  holding.set({...current, followUps: [...current.followUps, followUp]});
  update.dispatchOnce(JOURNAL_DUE, '', undefined);
}
