import type {LogLine} from './logLines';

/** The history of one job, from the logs of hosts. */
export interface JobHistory {
  /** Lines that mention the job, and host and worker events that affect it. */
  readonly lines: readonly LogLine[];
  /** The state of the job after its last event, in one phrase. */
  readonly verdict: string;
}

/** Events that affect all jobs: the holder or access to the log changed, or is late. */
const HOST_EVENTS = new Set([
  'holding-began',
  'holding-ended',
  'fencing-began',
  'journal-late',
  'journal-answered',
  'reserve-used',
  'reserve-settled',
  'stream-lost',
  'stream-regained',
]);
/** Events of a worker that affect the runs on it. */
const WORKER_EVENTS = new Set([
  'worker-gone',
  'worker-silent',
  'worker-regained',
]);
/** Answers about a job, which do not change its state. */
const ANSWER_EVENTS = new Set(['status-absent', 'status-unsure']);
/**
 * A history includes host and worker events up to this long after the last line
 * that mentions the job.
 */
const CONTEXT_AFTER_JOB_MILLIS = 2000;
const MILLIS_PER_SECOND = 1000;

/** State of a job by the last event that mentions it. */
const STATE_BY_EVENT: Readonly<Record<string, string>> = {
  'submit-accepted': 'accepted; no holder has read it yet',
  'submit-refused': 'refused; it has not run',
  'submit-unknown': 'unknown whether accepted: the log did not answer in time',
  'job-taken': 'read by the holder; none of its tasks has been placed yet',
  advised: 'advice received; not placed since',
  'step-waits': 'waiting for workers',
  'step-placed': 'placed; its outcome is not known yet',
  'run-ended': 'a run has ended; nothing logged since',
  'run-stopping': 'being stopped',
  'start-not-confirmed': 'start ordered, but not confirmed by the worker',
  'job-completed': 'completed',
  'job-failed': 'failed after the attempts that its queue allows',
  'job-cancelled': 'cancelled',
};

/**
 * Collects the history of a job from the lines of all hosts, in any order.
 * Returns undefined if no line mentions the job.
 */
export function explainJob(
  jobId: string,
  lines: readonly LogLine[],
): JobHistory | undefined {
  const jobLines = lines.filter(line => mentionsJob(line, jobId));
  if (jobLines.length === 0) {
    return undefined;
  }
  const contextStart = Math.min(...jobLines.map(({at}) => at));
  const contextEnd =
    Math.max(...jobLines.map(({at}) => at)) + CONTEXT_AFTER_JOB_MILLIS;
  const workers = new Set(
    jobLines.flatMap(({fields}) => (fields['worker'] ?? '').split(',')),
  );
  const contextLines = lines.filter(
    ({at, event, fields}) =>
      at >= contextStart &&
      at <= contextEnd &&
      (HOST_EVENTS.has(event) ||
        (WORKER_EVENTS.has(event) && workers.has(fields['worker'] ?? ''))),
  );
  const sorted = [...new Set([...jobLines, ...contextLines])].sort(
    (a, b) => a.at - b.at,
  );
  const verdict = describeState(jobId, [
    ...jobLines,
    ...findWaitsOfAccount(jobLines, lines),
  ]);
  return {lines: sorted, verdict};
}

/**
 * Finds what steps of other jobs wait for while a job has not been placed: hosts
 * report only the most urgent of the steps that wait for the same limits of an account.
 */
function findWaitsOfAccount(
  jobLines: readonly LogLine[],
  lines: readonly LogLine[],
): LogLine[] {
  const account = jobLines.find(({fields}) => fields['account'] !== undefined)
    ?.fields['account'];
  const last = findLast(jobLines, ({event}) => !ANSWER_EVENTS.has(event));
  // A step with a line of its own about another reason does not wait for the account.
  const mayWaitForAccount =
    last?.event === 'job-taken' || last?.fields['atLimits'] !== undefined;
  return account === undefined || !mayWaitForAccount
    ? []
    : lines.filter(
        ({at, event, fields}) =>
          event === 'step-waits' &&
          fields['account'] === account &&
          fields['atLimits'] !== undefined &&
          at >= (last?.at ?? Infinity),
      );
}

/** The newest of the lines that fulfil a condition. */
function findLast(
  lines: readonly LogLine[],
  condition: (line: LogLine) => boolean,
): LogLine | undefined {
  return [...lines].sort((a, b) => a.at - b.at).findLast(condition);
}

/** The id of a step, task or run begins with that of its job and a dot. */
function mentionsJob({fields}: LogLine, jobId: string): boolean {
  const {job, subject} = fields;
  return [job, subject].some(
    id => id === jobId || id?.startsWith(`${jobId}.`) === true,
  );
}

/** Describes the event that ended the job, or else its last event. */
function describeState(jobId: string, jobLines: readonly LogLine[]): string {
  const last =
    findLast(jobLines, ({event}) => /^job-(?!taken)/.test(event)) ??
    findLast(jobLines, ({event}) => !ANSWER_EVENTS.has(event)) ??
    findLast(jobLines, () => true);
  if (last === undefined) {
    return 'unknown';
  }
  const {detail, account, atLimits} = last.fields;
  if (last.event === 'step-waits' && atLimits !== undefined) {
    const source = mentionsJob(last, jobId)
      ? detail
      : `as logged for ${last.fields['subject']}`;
    return `waiting: ${describeLimits(atLimits)} (${account}: ${source})`;
  }
  const state = STATE_BY_EVENT[last.event] ?? `last seen at ${last.event}`;
  return detail === undefined ? state : `${state} (${detail})`;
}

/** Puts the field `atLimits` of `step-waits`, such as `cpu:2100`, into words. */
function describeLimits(atLimits: string): string {
  const limits = atLimits.split(',').map(limit => {
    const [name, millis] = limit.split(':');
    const seconds = (Number(millis) / MILLIS_PER_SECOND).toFixed(1);
    // Without a single resource that is at its limit, the name is `account`.
    const limitName = name === 'account' ? 'limit' : `${name} limit`;
    return `its ${limitName} since ${seconds} s`;
  });
  return `account at ${limits.join(' and ')}`;
}
