import {CONFIGURATION} from '@samphireramp/dispatch';
import {
  ANSWER_CALL,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
  countPending,
  jobStatus,
} from '@samphireramp/intake';
import type {Kernel} from '@samphireramp/kernel';
import type {CallerService} from '@samphireramp/platform';

/** What the service is given. */
export interface CallerServiceOptions {
  readonly now: () => number;
  readonly wallClock: () => number;
  readonly isStopping: () => boolean;
  readonly startedAt: number;
}

/** Makes the kernel answer callers. */
export function createCallerService(
  kernel: Kernel,
  options: CallerServiceOptions,
): CallerService {
  const {now, wallClock, isStopping, startedAt} = options;
  const open = new Map<string, (answer: RequestAnswer) => void>();
  let calls = 0;
  kernel.registerEffect(ANSWER_CALL, ({callId, answer}) => {
    open.get(callId)?.(answer);
    open.delete(callId);
  });

  function ask(request: Request): Promise<RequestAnswer> {
    return new Promise(resolve => {
      const callId = String(++calls);
      open.set(callId, resolve);
      kernel.dispatch(REQUEST_RECEIVED, {callId, request});
    });
  }

  return {
    configuration: () => kernel.read(CONFIGURATION).get(),
    submit: job => ask({kind: 'submit', job}),
    cancel: jobId => ask({kind: 'cancel', jobId, receivedAt: wallClock()}),
    status: jobId => jobStatus(kernel, jobId, now(), startedAt),
    pending: queue => countPending(kernel, queue),
    isStopping,
    wallClock,
  };
}
