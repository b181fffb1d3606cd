import {createCommand, createEffect} from '@samphireramp/kernel';
import type {Request} from '@samphireramp/intake';
import type {SiteConfiguration, StepId} from '@samphireramp/jobs';

/** A worker that may run a step, and the proof of it. */
export interface Permit {
  readonly workerId: string;
  readonly ticket: string;
}

/** What an adviser answered. */
export type Advice =
  | {
      readonly kind: 'answered';
      readonly permits: readonly Permit[];
      readonly validityMillis: number;
    }
  /** Too many calls of that host wait. */
  | {readonly kind: 'busy'}
  | {readonly kind: 'failed'; readonly detail: string};

/** A configuration came into force. */
export const CONFIGURATION_IN_FORCE = createCommand<{
  readonly configuration: SiteConfiguration;
}>('configuration-in-force');

/** Requests of callers were read from one partition of the log. */
export const REQUESTS_READ = createCommand<{
  readonly requests: readonly Request[];
  readonly partition: number;
}>('requests-read');

/** Places what can be placed. */
export const PLACE_TASKS = createCommand<void>('place-work');

/** Time passed: occurrences, advice and forgetting may be due. */
export const DISPATCH_TICK = createCommand<void>('dispatch-tick');

/** A call for advice came to an end. */
export const ADVICE_RECEIVED = createCommand<{
  readonly askId: string;
  readonly advice: Advice;
}>('advised');

/** Asks, through a host, which workers may run a step. */
export const REQUEST_ADVICE = createEffect<{
  readonly askId: string;
  readonly host: string;
  readonly step: StepId;
  readonly workerIds: readonly string[];
  readonly timeoutMillis: number;
}>('advise');

/** Has `PLACE_WORK` run soon. */
export const SCHEDULE_PLACEMENT = createEffect<void>('plan-placing');

/** Follows what only a holder follows: requests and the list of workers. */
export const FOLLOW_SITE = createEffect<void>('follow-site');

/** Ends `FOLLOW_SITE`. */
export const UNFOLLOW_SITE = createEffect<void>('unfollow-site');

/** Drops what the log keeps of the requests about a job. */
export const FORGET_REQUESTS = createEffect<{
  readonly jobIds: readonly string[];
}>('forget-requests');

/** The log keeps no request about the jobs any more, in any partition. */
export const REQUESTS_FORGOTTEN = createCommand<{
  readonly jobIds: readonly string[];
}>('requests-forgotten');

/** A decision about a job, a task or advice, for logs. */
export const DISPATCH_EVENT = createEffect<{
  readonly event: string;
  readonly subject: string;
  readonly queue?: string;
  readonly worker?: string;
  readonly detail?: string;
  readonly millis?: number;
}>('dispatch-event');
