import {createCommand, createEffect} from '@samphireramp/kernel';
import type {AppendOutcome} from '@samphireramp/stream-log';
import type {Request, RequestAnswer} from './Request';

/** A caller's request has arrived. */
export const REQUEST_RECEIVED = createCommand<{
  /** Identifies the call in `ANSWER_CALL`. */
  readonly callId: string;
  readonly request: Request;
}>('request-received');

/** Appends the requests that wait for a batch. */
export const FLUSH_REQUESTS = createCommand<void>('flush-requests');

/** Appends a batch once more, in parallel, if it has no answer yet. */
export const HEDGE_REQUESTS = createCommand<{
  readonly batchId: string;
  /** Number of attempts when this was scheduled; void after another one. */
  readonly attempts: number;
}>('hedge-requests');

/** Reports the outcome of one attempt to append a batch. */
export const REQUEST_APPEND_ENDED = createCommand<{
  readonly batchId: string;
  /** Index of the attempt in the batch. */
  readonly attempt: number;
  readonly outcome: AppendOutcome;
}>('requests-appended');

/** Dispatched periodically: deletes outdated rows of `ACCEPTED_JOBS`. */
export const INTAKE_TICK = createCommand<void>('intake-tick');

/** Dispatches `FLUSH_REQUESTS` after `millis`. */
export const SCHEDULE_FLUSH = createEffect<{readonly millis: number}>(
  'plan-flush',
);

/** Dispatches `HEDGE_REQUESTS` after `millis`. */
export const SCHEDULE_HEDGE = createEffect<{
  readonly batchId: string;
  readonly attempts: number;
  readonly millis: number;
}>('plan-hedge');

/** Appends a batch of requests to the log. */
export const APPEND_REQUESTS = createEffect<{
  readonly batchId: string;
  /** Index of the attempt in the batch. */
  readonly attempt: number;
  readonly partition: number;
  readonly requests: readonly Request[];
  readonly timeoutMillis: number;
}>('append-requests');

/** Sends a caller the answer to its request. */
export const ANSWER_CALL = createEffect<{
  readonly callId: string;
  readonly answer: RequestAnswer;
}>('answer-call');

/** Reports the answer to a request, for logs and metrics. */
export const INTAKE_EVENT = createEffect<{
  readonly event: string;
  /** Id of the job that the request submits or cancels. */
  readonly subject: string;
  /** Kind of the request. */
  readonly kind: string;
  readonly queue?: string;
  readonly detail?: string;
  /** Time from the first append to the answer; 0 if there was no append. */
  readonly millis?: number;
}>('intake-event');
