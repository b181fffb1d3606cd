import {createCommand, createEffect} from '@samphireramp/kernel';
import type {HolderRecord} from '@samphireramp/holding';
import type {JobState} from '@samphireramp/jobs';
import type {AppendOutcome, StreamRead} from '@samphireramp/stream-log';

/** A decoded record of the stream of job states. */
export type StateEntry =
  | {readonly kind: 'holder'; readonly record: HolderRecord}
  | {
      readonly kind: 'state';
      readonly jobId: string;
      readonly queue: string;
      /** Name of the client account that handed the job in; empty for none. */
      readonly account: string;
      readonly state: JobState;
    }
  | {readonly kind: 'forgotten'; readonly jobId: string}
  /** Names of the hosts that follow the journal to be able to take over. */
  | {readonly kind: 'standbys'; readonly hosts: readonly string[]};

/** An entry of the stream of job states and its offset. */
export interface StoredStateEntry {
  readonly offset: number;
  readonly entry: StateEntry;
}

/** What one read of the stream of job states returned. */
export interface StatesRead extends Omit<StreamRead, 'records'> {
  readonly entries: readonly StoredStateEntry[];
}

/** Reports entries read from the stream of job states. */
export const STATES_READ = createCommand<StatesRead>('states-read');

/** Reports the outcome of an append to the stream of job states. */
export const STATES_APPEND_ENDED = createCommand<{
  /** Number of the append at this host. */
  readonly append: number;
  readonly outcome: AppendOutcome;
}>('states-appended');

/** Appends entries, on condition that the stream ends at `expectedEnd`. */
export const APPEND_STATES = createEffect<{
  /** Number of the append at this host. */
  readonly append: number;
  readonly expectedEnd: number;
  readonly entries: readonly StateEntry[];
  readonly timeoutMillis: number;
}>('append-states');

/** Reads the stream of job states at once, without the usual pause. */
export const READ_STATES_NOW = createEffect<void>('read-states-now');

/** Follows the journal from now on. */
export const FOLLOW_JOURNAL = createEffect<void>('follow-journal');

/** Stops following the journal. */
export const UNFOLLOW_JOURNAL = createEffect<void>('unfollow-journal');

/** Reports a change of what this host follows or of who may take over. */
export const STANDBY_EVENT = createEffect<{
  readonly event: string;
  readonly detail: string;
  /** How long ago the holder was heard of. */
  readonly silentMillis?: number;
}>('standby-event');
