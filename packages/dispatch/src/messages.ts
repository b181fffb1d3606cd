import {createCommand, createEffect} from '@samphireramp/kernel';
import type {Request} from '@samphireramp/intake';
import type {StepId} from '@samphireramp/jobs';

/** A worker that may run a step, and the ticket that proves it. */
export interface Permit {
  readonly workerId: string;
  readonly ticket: string;
}

/** Result of a request for advice. */
export type Advice =
  | {
      readonly kind: 'answered';
      readonly permits: readonly Permit[];
      readonly validityMillis: number;
    }
  /** The adviser has too many calls of that host in its queue. */
  | {readonly kind: 'busy'}
  | {readonly kind: 'failed'; readonly detail: string};

/** Requests of callers were read from one partition of their stream. */
export const REQUESTS_READ = createCommand<{
  readonly requests: readonly Request[];
  readonly partition: number;
  /** Ids of all jobs that the requests in the read are about, also of ended ones. */
  readonly jobIds: readonly string[];
  /**
   * If the read reached the end of the partition, when it was sent, on the
   * runtime's monotonic clock.
   */
  readonly completeUntil: number | undefined;
}>('requests-read');

/** A read of one partition of the stream of requests failed. */
export const REQUESTS_READ_FAILED = createCommand<{
  readonly partition: number;
  /** Whether the log refused it; otherwise the log may only be slow. */
  readonly isRefused: boolean;
}>('requests-read-failed');

/** The steps that a placement pass looks at. */
export type PlacementScope = 'all' | 'urgent';

/**
 * A scheduled placement pass begins; `PLACE_TASKS` follows as an update of its own,
 * so that an error in it doesn't leave the pass scheduled for good.
 */
export const BEGIN_PASS = createCommand<{readonly scope: PlacementScope}>(
  'begin-pass',
);

/** Places the tasks that can be placed now. */
export const PLACE_TASKS = createCommand<{readonly scope: PlacementScope}>(
  'place-work',
);

/** Timer for the periodic work of the dispatch plug-in. */
export const DISPATCH_TICK = createCommand<void>('dispatch-tick');

/** A request for advice was answered or failed. */
export const ADVICE_RECEIVED = createCommand<{
  readonly requestId: string;
  readonly advice: Advice;
}>('advised');

/** Asks the adviser, through a host, which workers may run a step. */
export const REQUEST_ADVICE = createEffect<{
  readonly requestId: string;
  readonly host: string;
  readonly step: StepId;
  readonly workerIds: readonly string[];
  readonly timeoutMillis: number;
}>('advise');

/** Schedules one dispatch of `PLACE_TASKS`. */
export const SCHEDULE_PLACEMENT = createEffect<{
  readonly scope: PlacementScope;
}>('plan-placing');

/** Starts reading the streams of requests, workers and hosts, as holders do. */
export const FOLLOW_HOLDER_STREAMS = createEffect<void>('follow-site');

/** Stops reading the streams of `FOLLOW_HOLDER_STREAMS`. */
export const UNFOLLOW_HOLDER_STREAMS = createEffect<void>('unfollow-site');

/** Removes the requests about the given jobs from one or all partitions of the log. */
export const FORGET_REQUESTS = createEffect<{
  readonly jobIds: readonly string[];
  /** Undefined for all partitions. */
  readonly partition: number | undefined;
}>('forget-requests');

/** The requests about the given jobs were removed from one or all partitions. */
export const REQUESTS_FORGOTTEN = createCommand<{
  readonly jobIds: readonly string[];
  /** Undefined for all partitions. */
  readonly partition: number | undefined;
}>('requests-forgotten');

/** A decision about a job, step or run, for logs and metrics. */
export const DISPATCH_EVENT = createEffect<{
  readonly event: string;
  /** Id of a job, or key of a step, task or run. */
  readonly subject: string;
  readonly queue?: string;
  readonly worker?: string;
  readonly detail?: string;
  readonly millis?: number;
  /** Name of the client account of the job. */
  readonly account?: string;
  /** Limits of the account that a step meets, and for how many milliseconds. */
  readonly atLimits?: string;
}>('dispatch-event');
