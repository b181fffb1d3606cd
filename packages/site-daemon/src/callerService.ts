import {
  type RevocationTerms,
  configurationAgeMillis,
  decideCall,
  isConfigurationOutdated,
} from '@samphireramp/accounts';
import {SITE_CONFIGURATION} from '@samphireramp/dispatch';
import {
  ANSWER_CALL,
  type JobStatus,
  type PendingCount,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
  countPending,
  createRefusal,
  jobStatus,
} from '@samphireramp/intake';
import type {Kernel} from '@samphireramp/kernel';
import {greatestProgressBytes} from '@samphireramp/record-codec';
import type {CallerService} from '@samphireramp/platform';
import {match} from 'ts-pattern';
import type {RejectedCall} from './rejectedCallReporter';

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
  /** How long keys are accepted while the configuration can't be read. */
  readonly revocation: () => RevocationTerms;
  /** Called with each call that is rejected for its API key. */
  readonly onRejected: (call: RejectedCall) => void;
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

  function readStatus(jobId: string, account: string | undefined): JobStatus {
    const status = jobStatus(kernel, jobId, now(), visibleMillis(), account);
    onStatus(jobId, status);
    return status;
  }

  return {
    configuration: () => kernel.read(SITE_CONFIGURATION).get(),
    authorize: (route, keys) => {
      const accounts =
        kernel.read(SITE_CONFIGURATION).get()?.clientAccounts ?? [];
      const ageMillis = configurationAgeMillis(kernel, now());
      const decision = decideCall({
        accounts,
        isPublic: route.isPublic,
        keys,
        isOutdated: isConfigurationOutdated(options.revocation(), ageMillis),
      });
      if (decision.kind === 'rejected') {
        const {reason, account} = decision;
        const queue = route.policy.name;
        options.onRejected({reason, account, queue, ageMillis});
      }
      return decision;
    },
    progressExcess: job => {
      const bytes = greatestProgressBytes(job);
      return bytes > options.maxRecordBytes()
        ? `the progress of the job may take ${bytes} bytes; at most ` +
            `${options.maxRecordBytes()} can be recorded: hand in fewer tasks`
        : undefined;
    },
    submit: job => dispatchRequest({kind: 'submit', job}),
    cancel: async (jobId, account) => {
      // Only cancels of jobs that are known to be the caller's get into the log,
      // where a cancel replaces an earlier one of the same job.
      const status =
        account === undefined ? 'known' : readStatus(jobId, account);
      return match(status)
        .with('absent', () => ({kind: 'absent'}) as const)
        .with('unsure', createRefusal)
        .otherwise(() =>
          dispatchRequest({
            kind: 'cancel',
            jobId,
            receivedAt: wallClock(),
            account,
          }),
        );
    },
    status: readStatus,
    pending: queue => {
      const count = countPending(kernel, queue, now(), visibleMillis());
      onPending(queue, count);
      return count;
    },
    isStopping,
    wallClock,
  };
}
