import {createTableSlice, createValueSlice} from '@samphireramp/kernel';
import type {Request} from './Request';

/** A caller's request that has no answer yet. */
export interface PendingCall {
  readonly callId: string;
  readonly request: Request;
}

/** A call that is in no batch yet. */
export interface WaitingCall extends PendingCall {
  /** Milliseconds of the runtime's monotonic clock. */
  readonly receivedAt: number;
}

/** One attempt to append a batch. */
export interface AppendAttempt {
  readonly partition: number;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly sentAt: number;
}

/** Calls whose requests are appended together. */
export interface RequestBatch {
  readonly id: string;
  readonly calls: readonly PendingCall[];
  readonly startedAt: number;
  /** Attempts so far to append the batch, in order. */
  readonly attempts: readonly AppendAttempt[];
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
export const UNBATCHED_CALLS = createValueSlice<readonly WaitingCall[]>(
  'gathered',
  [],
);
/** When calls that still wait for a batch are refused; undefined if none do. */
export const WAIT_ENDS_AT = createValueSlice<number | undefined>(
  'request-wait-end',
  undefined,
);
/** Batches that are being appended, by id. */
export const BATCHES_IN_FLIGHT =
  createTableSlice<RequestBatch>('request-batches');
/** Number of batches created so far, from which their ids are made. */
export const BATCH_COUNT = createValueSlice('request-batch-count', 0);

/**
 * Moving average of the time that appends take, in ms: that of the attempt which
 * is acknowledged first, or of the whole batch if none is.
 */
export const MEAN_APPEND_TIME = createValueSlice('request-append-time', 0);

/** Until when each partition that did not take an append in time is avoided. */
export const AVOIDED_PARTITIONS = createTableSlice<{
  /** Milliseconds of the runtime's monotonic clock. */
  readonly until: number;
}>('request-partitions-avoided');
