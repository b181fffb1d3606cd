import type {Job} from '@samphireramp/jobs';

/** What callers ask for and what must last. */
export type Request =
  | {readonly kind: 'submit'; readonly job: Job}
  | {
      readonly kind: 'cancel';
      readonly jobId: string;
      /** Wall-clock milliseconds. */
      readonly receivedAt: number;
    };

/** What a caller is told about a request. */
export type RequestAnswer =
  | {readonly kind: 'accepted'}
  /** It was not kept and never will be. */
  | {readonly kind: 'refused'; readonly retryAfterMillis: number}
  /** It may have been kept. */
  | {readonly kind: 'unknown'};

/** The job that a request is about. */
export function jobIdOf(request: Request): string {
  return request.kind === 'submit' ? request.job.id : request.jobId;
}
