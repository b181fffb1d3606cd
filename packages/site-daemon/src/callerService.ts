import {
  type Admission,
  type AdmissionTerms,
  type IncomingCall,
  admitCall,
  configurationAgeMillis,
  configurationKnowledge,
} from '@samphireramp/configuration';
import {
  ANSWER_CALL,
  type JobStatus,
  type PendingCount,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
  countPending,
  createRefusal,
  isOfOtherAccount,
  jobStatus,
} from '@samphireramp/intake';
import {knowsJobsUntil} from '@samphireramp/job-states';
import type {Kernel} from '@samphireramp/kernel';
import {greatestProgressBytes} from '@samphireramp/record-codec';
import type {CallerService} from '@samphireramp/platform';
import {match} from 'ts-pattern';

/** How long a cancel waits until this host knows all jobs accepted before it. */
const MAX_KNOWLEDGE_WAIT_MILLIS = 2500;
/** Interval at which a waiting cancel is checked again. */
const KNOWLEDGE_CHECK_MILLIS = 50;

/** Options of `createCallerService`. */
export interface CallerServiceOptions {
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Resolves after a time. */
  readonly delay: (millis: number) => Promise<void>;
  readonly isStopping: () => boolean;
  /** Maximum bytes of a record in the log. */
  readonly maxRecordBytes: () => number;
  /** An accepted job must be known at every host within this time. */
  readonly visibleMillis: () => number;
  /** How calls are decided while the configuration can't be read. */
  readonly admissionTerms: () => AdmissionTerms;
  /** Called with each decision on a call. */
  readonly onAdmission: (call: IncomingCall, admission: Admission) => void;
  /** Called with each call for a job of another account. */
  readonly onOtherAccount: (
    jobId: string,
    account: string | undefined,
    ageMillis: number,
  ) => void;
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
    reportIfOfOther(jobId, account);
    onStatus(jobId, status);
    return status;
  }

  /**
   * Finds whether an account has a job. If this host does not know the job as one of
   * the account, it waits until it knows every job that was accepted before the call:
   * another host may have accepted it just now. It waits alike for jobs of others.
   */
  async function findAccess(
    jobId: string,
    account: string,
  ): Promise<'granted' | 'absent' | 'unsure'> {
    const calledAt = now();
    for (;;) {
      const status = jobStatus(kernel, jobId, now(), visibleMillis(), account);
      if (status !== 'absent' && status !== 'unsure') {
        return 'granted';
      }
      const isKnown = knowsJobsUntil(kernel, calledAt);
      if (isKnown || now() - calledAt >= MAX_KNOWLEDGE_WAIT_MILLIS) {
        reportIfOfOther(jobId, account);
        return isKnown ? 'absent' : 'unsure';
      }
      await options.delay(KNOWLEDGE_CHECK_MILLIS);
    }
  }

  /** Reports a call for a job that the caller's account may not access. */
  function reportIfOfOther(jobId: string, account: string | undefined): void {
    if (isOfOtherAccount(kernel, jobId, account)) {
      const ageMillis = configurationAgeMillis(kernel, now());
      options.onOtherAccount(jobId, account, ageMillis);
    }
  }

  return {
    admit: call => {
      const knowledge = configurationKnowledge(kernel, now());
      const admission = admitCall(knowledge, call, options.admissionTerms());
      options.onAdmission(call, admission);
      return admission;
    },
    progressExcess: job => {
      const bytes = greatestProgressBytes(job);
      return bytes > options.maxRecordBytes()
        ? `the progress of the job may take ${bytes} bytes; at most ` +
            `${options.maxRecordBytes()} can be recorded: hand in fewer tasks`
        : undefined;
    },
    submit: (job, revision) => {
      reportIfOfOther(job.id, job.account);
      return dispatchRequest({kind: 'submit', job, revision});
    },
    cancel: async (jobId, account) => {
      const receivedAt = wallClock();
      // Only cancels of jobs that are known to be the caller's get into the log,
      // where a cancel replaces an earlier one of the same job.
      const access =
        account === undefined ? 'granted' : await findAccess(jobId, account);
      return match(access)
        .with('granted', () =>
          dispatchRequest({kind: 'cancel', jobId, receivedAt, account}),
        )
        .with('absent', () => ({kind: 'absent'}) as const)
        .with('unsure', createRefusal)
        .exhaustive();
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
