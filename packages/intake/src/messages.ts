import {createCommand, createEffect} from '@samphireramp/kernel';
import type {AppendOutcome} from '@samphireramp/stream-log';
import type {Request, RequestAnswer} from './Request';

/** A caller asks for something that must last. */
export const REQUEST_RECEIVED = createCommand<{
  readonly callId: string;
  readonly request: Request;
}>('request-received');

/** The requests gathered so far are to be written. */
export const FLUSH_REQUESTS = createCommand<void>('flush-requests');

/** A batch may have to be sent once more. */
export const HEDGE_REQUESTS = createCommand<{readonly batchId: string}>(
  'hedge-requests',
);

/** One try to write a batch of requests came to an end. */
export const REQUESTS_APPENDED = createCommand<{
  readonly batchId: string;
  readonly outcome: AppendOutcome;
}>('requests-appended');

/** Time passed: old memories go. */
export const INTAKE_TICK = createCommand<void>('intake-tick');

/** Has `FLUSH_REQUESTS` run after `millis`. */
export const SCHEDULE_FLUSH = createEffect<{readonly millis: number}>(
  'plan-flush',
);

/** Has `HEDGE_REQUESTS` run after `millis`. */
export const SCHEDULE_HEDGE = createEffect<{
  readonly batchId: string;
  readonly millis: number;
}>('plan-hedge');

/** Writes requests to the log. */
export const APPEND_REQUESTS = createEffect<{
  readonly batchId: string;
  readonly partition: number;
  readonly requests: readonly Request[];
  readonly timeoutMillis: number;
}>('append-requests');

/** Tells a caller what came of its request. */
export const ANSWER_CALL = createEffect<{
  readonly callId: string;
  readonly answer: RequestAnswer;
}>('answer-call');

/** A decision about a request, for logs. */
export const INTAKE_EVENT = createEffect<{
  readonly event: string;
  readonly subject: string;
  readonly kind: string;
  readonly queue?: string;
  readonly detail?: string;
  readonly millis?: number;
}>('intake-event');
