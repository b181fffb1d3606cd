import {createTableSlice, createValueSlice} from '@samphireramp/kernel';
import type {Request} from './Request';

/** A caller's request that has no answer yet. */
export interface PendingCall {
  readonly callId: string;
  readonly request: Request;
}

/** Calls whose requests are appended together. */
export interface RequestBatch {
  readonly id: string;
  /** Partition of the first attempt. */
  readonly partition: number;
  readonly calls: readonly PendingCall[];
  readonly startedAt: number;
  /** Attempts so far to append the batch. */
  readonly attempts: number;
  /** Attempts that have no answer yet. */
  readonly attemptsInFlight: number;
  /** Whether an attempt with an unknown outcome may have been appended. */
  readonly mayBeAppended: boolean;
}

/** A job that this host accepted. */
export interface AcceptedJob {
  readonly queue: string;
  /** Name of the client account that handed it in; empty for none. */
  readonly account: string;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly acceptedAt: number;
}

/**
 * Jobs that this host accepted recently, by job id. They count as queued until
 * the holder has read the request and this host has read their state.
 */
export const ACCEPTED_JOBS = createTableSlice<AcceptedJob>('accepted');

/** Calls whose requests wait for a batch, in order of arrival. */
export const UNBATCHED_CALLS = createValueSlice<readonly PendingCall[]>(
  'gathered',
  [],
);
/** Batches that are being appended, by id. */
export const BATCHES_IN_FLIGHT =
  createTableSlice<RequestBatch>('request-batches');
/** Number of batches created so far, from which their ids are made. */
export const BATCH_COUNT = createValueSlice('request-batch-count', 0);

/** Moving average of the time until a batch is appended or fails, in ms. */
export const MEAN_APPEND_TIME = createValueSlice('request-append-time', 0);
