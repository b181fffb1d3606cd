import {
  type StateReader,
  createIndexedTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {EMPTY_COPY, type StreamCopy} from '@samphireramp/holding';
import type {JobState} from '@samphireramp/jobs';

/** What every host knows of a job. */
export interface KnownJob {
  readonly queue: string;
  /** Name of the client account that handed it in; empty for none. */
  readonly account: string;
  readonly state: JobState;
}

/** State of each job by its id, with an index of the queued jobs by queue. */
export const JOB_STATES = createIndexedTableSlice<KnownJob>(
  'job-states',
  ({queue, state}) => (state === 'queued' ? queue : undefined),
);

/** How far this host has read the stream of job states. */
export const STATES_COPY = createValueSlice<StreamCopy>(
  'states-copy',
  EMPTY_COPY,
);

/**
 * Names of the hosts that follow the journal to be able to take over; undefined
 * until a holder has named them.
 */
export const STANDBYS = createValueSlice<readonly string[] | undefined>(
  'standbys',
  undefined,
);

/** Whether this host knows every job that was requested before a time. */
export function knowsJobsUntil(state: StateReader, until: number): boolean {
  return state.read(STATES_COPY).get().jobsCompleteUntil >= until;
}
