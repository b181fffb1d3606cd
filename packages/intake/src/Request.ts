import type {Job} from '@samphireramp/jobs';

/** A caller's request; it is accepted only once it is durable. */
export type Request =
  | {
      readonly kind: 'submit';
      readonly job: Job;
      /** Revision of the configuration that admitted the call; undefined if unknown. */
      readonly revision?: number;
    }
  | {
      readonly kind: 'cancel';
      readonly jobId: string;
      /** Wall-clock time in milliseconds. */
      readonly receivedAt: number;
      /**
       * Name of the caller's account, which must be the job's; undefined if the
       * site has no accounts, and in records of hosts that know none.
       */
      readonly account?: string;
    };

/** The answer to a request. */
export type RequestAnswer =
  | {readonly kind: 'accepted'}
  /** The request is not in the log and never will be. */
  | {readonly kind: 'refused'; readonly retryAfterMillis: number}
  /** There is no such job for this caller. */
  | {readonly kind: 'absent'}
  /** Another client account has handed in a job with this id. */
  | {readonly kind: 'id-in-use'}
  /** The log can't take the request, because of its size. */
  | {readonly kind: 'too-large'}
  /** The request may be in the log. */
  | {readonly kind: 'unknown'};

/** The id of the job that a request submits or cancels. */
export function jobIdOf(request: Request): string {
  return request.kind === 'submit' ? request.job.id : request.jobId;
}
