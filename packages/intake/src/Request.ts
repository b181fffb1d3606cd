import type {Job} from '@samphireramp/jobs';

/** A caller's request; it is accepted only once it is durable. */
export type Request =
  | {readonly kind: 'submit'; readonly job: Job}
  | {
      readonly kind: 'cancel';
      readonly jobId: string;
      /** Wall-clock time in milliseconds. */
      readonly receivedAt: number;
    };

/** The answer to a request. */
export type RequestAnswer =
  | {readonly kind: 'accepted'}
  /** The request is not in the log and never will be. */
  | {readonly kind: 'refused'; readonly retryAfterMillis: number}
  /** The log can't take the request, because of its size. */
  | {readonly kind: 'too-large'}
  /** The request may be in the log. */
  | {readonly kind: 'unknown'};

/** The id of the job that a request submits or cancels. */
export function jobIdOf(request: Request): string {
  return request.kind === 'submit' ? request.job.id : request.jobId;
}
