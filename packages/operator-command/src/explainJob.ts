import type {LogLine} from './logLines';

/** What the logs tell of one job. */
export interface Story {
  /** Lines that name the job, or change what was believed meanwhile. */
  readonly lines: readonly LogLine[];
  /** The state of the job after the last of them, in one sentence. */
  readonly verdict: string;
}

/** Events that change what a host believes about everything it holds. */
const CONTEXT = new Set([
  'holding-began',
  'holding-ended',
  'stream-lost',
  'stream-regained',
]);
/** Events about a worker that matter to what runs there. */
const OF_WORKERS = new Set(['worker-gone', 'worker-silent', 'worker-regained']);
/** How long after the last line about the job its surroundings matter. */
const AFTERMATH_MILLIS = 2000;

const VERDICTS: Readonly<Record<string, string>> = {
  'submit-accepted': 'accepted; no holder has taken it in yet',
  'submit-refused': 'refused, so that it has not run',
  'submit-unknown': 'in doubt: the log gave no answer in time',
  'job-taken': 'taken in; nothing of it was placed yet',
  advised: 'told who may run it; not placed since',
  'step-waits': 'waiting for workers',
  'step-placed': 'placed; its end is not known yet',
  'run-ended': 'between two runs',
  'run-stopping': 'being stopped',
  'start-not-confirmed': 'ordered, and not confirmed by the worker',
  'job-completed': 'completed',
  'job-failed': 'failed, after the attempts that its queue allows',
  'job-cancelled': 'cancelled',
};

/** Tells what became of a job, from lines of all hosts in any order. */
export function explainJob(
  jobId: string,
  lines: readonly LogLine[],
): Story | undefined {
  const own = lines.filter(line => namesJob(line, jobId));
  if (own.length === 0) {
    return undefined;
  }
  const first = Math.min(...own.map(({at}) => at));
  const last = Math.max(...own.map(({at}) => at)) + AFTERMATH_MILLIS;
  const workers = new Set(
    own.flatMap(({fields}) => (fields['worker'] ?? '').split(',')),
  );
  const around = lines.filter(
    ({at, event, fields}) =>
      at >= first &&
      at <= last &&
      (CONTEXT.has(event) ||
        (OF_WORKERS.has(event) && workers.has(fields['worker'] ?? ''))),
  );
  const told = [...new Set([...own, ...around])].sort((a, b) => a.at - b.at);
  return {lines: told, verdict: verdictOf(own)};
}

function namesJob({fields}: LogLine, jobId: string): boolean {
  const {job, subject} = fields;
  return [job, subject].some(
    name => name === jobId || name?.startsWith(`${jobId}.`) === true,
  );
}

function verdictOf(own: readonly LogLine[]): string {
  const inOrder = [...own].sort((a, b) => a.at - b.at);
  const final = inOrder.findLast(({event}) => /^job-(?!taken)/.test(event));
  const last = final ?? inOrder.at(-1);
  if (last === undefined) {
    return 'unknown';
  }
  const detail = last.fields['detail'];
  const told = VERDICTS[last.event] ?? `last seen at ${last.event}`;
  return detail === undefined ? told : `${told} (${detail})`;
}
