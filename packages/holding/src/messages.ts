import {createCommand, createEffect} from '@samphireramp/kernel';
import type {Progress} from '@samphireramp/jobs';
import type {AppendOutcome, StreamRead} from '@samphireramp/stream-log';
import type {HolderRecord} from './HolderRecord';
import type {LeaseBound} from './leaseBounds';

/** A decoded record of the journal. */
export type JournalEntry =
  | {readonly kind: 'holder'; readonly record: HolderRecord}
  | {readonly kind: 'progress'; readonly progress: Progress}
  | {readonly kind: 'forgotten'; readonly jobId: string}
  | {readonly kind: 'lease-bound'; readonly bound: LeaseBound}
  | {readonly kind: 'lease-bound-lifted'; readonly incarnation: string};

/** A journal entry and its offset. */
export interface StoredEntry {
  readonly offset: number;
  readonly entry: JournalEntry;
}

/** What one read of the journal returned. */
export interface JournalRead extends Omit<StreamRead, 'records'> {
  readonly entries: readonly StoredEntry[];
}

/** A decoded record of the reserve journal, or one to append to it. */
export type ReserveEntry =
  | JournalEntry
  /** The journal has the entry, so that the reserve journal need not keep it. */
  | {readonly kind: 'withdrawn'; readonly entry: JournalEntry};

/** What one read of the reserve journal returned; it has no withdrawn entries. */
export type ReserveRead = JournalRead;

/** Reports entries read from the journal. */
export const JOURNAL_READ = createCommand<JournalRead>('journal-read');

/** Reports the outcome of an append to the journal. */
export const JOURNAL_APPEND_ENDED = createCommand<{
  /** `append` of `APPEND_JOURNAL`. */
  readonly append: number;
  readonly outcome: AppendOutcome;
}>('journal-appended');

/** Entries that this holder recorded are durable. */
export const PROGRESS_DURABLE = createCommand<{
  readonly entries: readonly JournalEntry[];
}>('progress-durable');

/** The log can't take the progress of a job, because of its size. */
export const PROGRESS_TOO_LARGE = createCommand<{readonly jobId: string}>(
  'progress-too-large',
);

/** Periodic tick: a claim, a heartbeat or the resend of a batch may be due. */
export const HOLDING_TICK = createCommand<void>('holding-tick');

/** This host has become the holder of the site. */
export const HOLDING_BEGAN = createCommand<{readonly term: number}>(
  'holding-began',
);

/** This host is no longer the holder of the site. */
export const HOLDING_ENDED = createCommand<{
  readonly term: number;
  readonly reason: HoldingEndReason;
}>('holding-ended');

/**
 * Why a holding ended. `resigned`: the host shuts down; `other-claim`: the
 * journal has a claim of another host; `fenced-by-worker`: a worker has seen a
 * newer term.
 */
export type HoldingEndReason = 'resigned' | 'other-claim' | 'fenced-by-worker';

/** A worker refused this holder's term because it has seen a newer one. */
export const HOLDING_FENCED = createCommand<{readonly worker: string}>(
  'holding-fenced',
);

/** Resigns the holding, if any, and ends claims: the host is shutting down. */
export const RESIGN = createCommand<void>('resign');

/** Appends a claim or a batch, on condition that the journal ends at `expectedEnd`. */
export const APPEND_JOURNAL = createEffect<{
  /** Number of the append, from 0 on, among all of this process. */
  readonly append: number;
  readonly expectedEnd: number;
  readonly entries: readonly JournalEntry[];
  readonly timeoutMillis: number;
}>('append-journal');

/** Reports entries read from the reserve journal. */
export const RESERVE_READ = createCommand<ReserveRead>('reserve-read');

/** A read of the reserve journal failed. */
export const RESERVE_READ_FAILED = createCommand<void>('reserve-read-failed');

/** Reports the outcome of an append to the reserve journal. */
export const RESERVE_APPEND_ENDED = createCommand<{
  /** Number of the batch. */
  readonly batch: number;
  readonly outcome: AppendOutcome;
}>('reserve-appended');

/** Appends a batch, on condition that the reserve journal ends at `expectedEnd`. */
export const APPEND_RESERVE = createEffect<{
  readonly batch: number;
  readonly expectedEnd: number;
  readonly entries: readonly ReserveEntry[];
  readonly timeoutMillis: number;
}>('append-reserve');

/** Starts reading the reserve journal, from a snapshot on. */
export const FOLLOW_RESERVE = createEffect<void>('follow-reserve');

/** Stops reading the reserve journal. */
export const UNFOLLOW_RESERVE = createEffect<void>('unfollow-reserve');

/** Reads the reserve journal at once, without the usual pause between reads. */
export const READ_RESERVE_NOW = createEffect<void>('hurry-reserve');

/** Reads the journal at once, without the usual pause between reads. */
export const READ_JOURNAL_NOW = createEffect<void>('hurry-journal');

/** Reports an event of the holding or of a claim to the log and the metrics. */
export const HOLDING_EVENT = createEffect<{
  readonly event: string;
  readonly term: number;
  readonly holder: string;
  readonly detail?: string;
  readonly silentMillis?: number;
}>('holding-event');
