import {SITE_CONFIGURATION} from '@samphireramp/dispatch';
import {
  ANSWER_CALL,
  type JobStatus,
  type PendingCount,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
  countPending,
  jobStatus,
} from '@samphireramp/intake';
import type {Kernel} from '@samphireramp/kernel';
import {greatestProgressBytes} from '@samphireramp/record-codec';
import type {CallerService} from '@samphireramp/platform';

/** Options of `createCallerService`. */
export interface CallerServiceOptions {
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  readonly isStopping: () => boolean;
  /** Maximum bytes of a record in the log. */
  readonly maxRecordBytes: () => number;
  /** An accepted job must be known at every host within this time. */
  readonly visibleMillis: () => number;
  /** Called with each answer that this host gives from its copy of the journal. */
  readonly onStatus: (jobId: string, status: JobStatus) => void;
  readonly onPending: (queue: string, count: PendingCount) => void;
}

/** Implements the job API with the commands and state of the kernel. */
export function createCallerService(
  kernel: Kernel,
  options: CallerServiceOptions,
): CallerService {
  const {now, wallClock, isStopping, visibleMillis, onStatus, onPending} =
    options;
  /** Functions that answer the open calls, by call id. */
  const pendingCalls = new Map<string, (answer: RequestAnswer) => void>();
  let lastCallNumber = 0;
  kernel.registerEffect(ANSWER_CALL, ({callId, answer}) => {
    pendingCalls.get(callId)?.(answer);
    pendingCalls.delete(callId);
  });

  function dispatchRequest(request: Request): Promise<RequestAnswer> {
    return new Promise(resolve => {
      const callId = String(++lastCallNumber);
      pendingCalls.set(callId, resolve);
      kernel.dispatch(REQUEST_RECEIVED, {callId, request});
    });
  }

  return {
    configuration: () => kernel.read(SITE_CONFIGURATION).get(),
    progressExcess: job => {
      const bytes = greatestProgressBytes(job);
      return bytes > options.maxRecordBytes()
        ? `the progress of the job may take ${bytes} bytes; at most ` +
            `${options.maxRecordBytes()} can be recorded: hand in fewer tasks`
        : undefined;
    },
    submit: job => dispatchRequest({kind: 'submit', job}),
    cancel: jobId =>
      dispatchRequest({kind: 'cancel', jobId, receivedAt: wallClock()}),
    status: jobId => {
      const status = jobStatus(kernel, jobId, now(), visibleMillis());
      onStatus(jobId, status);
      return status;
    },
    pending: queue => {
      const count = countPending(kernel, queue, now(), visibleMillis());
      onPending(queue, count);
      return count;
    },
    isStopping,
    wallClock,
  };
}
