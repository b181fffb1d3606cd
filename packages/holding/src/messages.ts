import {createCommand, createEffect} from '@samphireramp/kernel';
import type {Progress} from '@samphireramp/jobs';
import type {AppendOutcome} from '@samphireramp/stream-log';
import type {HolderRecord} from './HolderRecord';

/** What one record of the journal says. */
export type JournalEntry =
  | {readonly kind: 'holder'; readonly record: HolderRecord}
  | {readonly kind: 'progress'; readonly progress: Progress}
  | {readonly kind: 'forgotten'; readonly jobId: string};

/** A journal entry at its offset. */
export interface StoredEntry {
  readonly offset: number;
  readonly entry: JournalEntry;
}

/** Entries of the journal were read. */
export const JOURNAL_READ = createCommand<{
  readonly entries: readonly StoredEntry[];
  /** Where the journal ended. */
  readonly end: number;
  /** Whether this is all that the journal keeps. */
  readonly isSnapshot: boolean;
}>('journal-read');

/** An append to the journal came to an end. */
export const JOURNAL_APPENDED = createCommand<{
  readonly batch: number;
  readonly outcome: AppendOutcome;
}>('journal-appended');

/** Time passed: claims, heartbeats and repeated appends may be due. */
export const HOLDING_TICK = createCommand<void>('holding-tick');

/** This host holds the site from now on. */
export const HOLDING_BEGAN = createCommand<{readonly term: number}>(
  'holding-began',
);

/** This host no longer holds the site. */
export const HOLDING_ENDED = createCommand<{
  readonly term: number;
  readonly reason: HoldingEndReason;
}>('holding-ended');

/** Why a holding ended. */
export type HoldingEndReason = 'resigned' | 'other-claim' | 'fenced-by-worker';

/** A worker has obeyed a newer holder. */
export const HOLDING_FENCED = createCommand<{readonly worker: string}>(
  'holding-fenced',
);

/** The host is about to stop: give the site to another. */
export const RESIGN = createCommand<void>('resign');

/** Appends a batch to the journal, where it ends as known. */
export const APPEND_JOURNAL = createEffect<{
  readonly batch: number;
  readonly expectedEnd: number;
  readonly entries: readonly JournalEntry[];
  readonly timeoutMillis: number;
}>('append-journal');

/** Reads the journal at once, since it has grown. */
export const READ_JOURNAL_NOW = createEffect<void>('hurry-journal');

/** What changed about who holds the site, for logs. */
export const HOLDING_EVENT = createEffect<{
  readonly event: string;
  readonly term: number;
  readonly holder: string;
  readonly detail?: string;
  readonly silentMillis?: number;
}>('holding-event');
