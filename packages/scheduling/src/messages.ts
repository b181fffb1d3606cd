import {createCommand, createEffect} from '@samphireramp/kernel';
import type {
  CallOutcome,
  ExecuteAnswer,
  ExecuteRequest,
  PeerCall,
} from '@samphireramp/model';

/** A call for a shard that this host holds. Times in monotonic milliseconds. */
export interface LocalCall {
  readonly callId: string;
  readonly shardId: string;
  readonly key: string;
  readonly call: PeerCall;
  readonly deadline: number;
}

/** Decides on a call. */
export const LOCAL_CALL = createCommand<LocalCall>('local-call');

/** What became of a call. */
export const CALL_DECIDED = createCommand<{
  readonly callId: string;
  readonly outcome: CallOutcome;
}>('call-decided');

/** Places queued work of a shard. */
export const PLACE_WORK = createCommand<{readonly shardId: string}>(
  'place-work',
);

/** Time to end waits and to release what lingers. */
export const WORK_TICK = createCommand<void>('work-tick');

/** Has a worker answer a request, unless the clock is past `sendBefore`. */
export const EXECUTE = createEffect<{
  readonly callId: string;
  readonly worker: string;
  readonly address: string;
  readonly sendBefore: number;
  /** Host time after which no answer is waited for. */
  readonly answerBefore: number;
  readonly request: ExecuteRequest;
}>('execute');

/** A worker answered a request. */
export const EXECUTED = createCommand<{
  readonly callId: string;
  readonly answer: ExecuteAnswer;
}>('executed');

/** A worker did not answer; `sent` says whether it may have begun. */
export const EXECUTION_SILENT = createCommand<{
  readonly callId: string;
  readonly attempt: number;
  readonly sent: boolean;
}>('execution-silent');

/** Runs the next part of a long pass once the loop has served the rest. */
export const CONTINUE_PLACING = createEffect<{readonly shardId: string}>(
  'continue-placing',
);

/** Something that the audit trail and the metrics count. */
export interface WorkEvent {
  readonly event:
    | 'job-accepted'
    | 'job-ended'
    | 'task-started'
    | 'task-ended'
    | 'task-lost'
    | 'task-unknown'
    | 'request-answered'
    | 'request-refused'
    | 'request-unknown'
    | 'late-answer-dropped'
    | 'orphan-adopted'
    | 'worker-taken-out'
    | 'worker-let-back';
  readonly subject: string;
  readonly workload: string;
  readonly detail: string;
  /** Milliseconds that the subject waited or ran, where that is known. */
  readonly millis?: number;
}

/** Tells logs and metrics what happened. */
export const WORK_EVENT = createEffect<WorkEvent>('work-event');
