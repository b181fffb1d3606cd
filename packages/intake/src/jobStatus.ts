import {HOLDING, DURABLE_PROGRESS} from '@samphireramp/holding';
import type {JobState} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import {ACCEPTED_JOBS} from './intakePlugin';

/**
 * A job is reported as absent only if the journal was read and the holder was
 * heard of within this time ...
 */
const MAX_JOURNAL_AGE_MILLIS = 1500;
/**
 * ... and if this host has run, or on the holder held the site, for this long,
 * since requests that were appended late are in the journal by then.
 */
const SETTLING_MILLIS = 6000;

/** The status of a job for callers; `unsure` if this host can't tell. */
export type JobStatus = JobState | 'absent' | 'unsure';

/** The status of a job, from durable progress and the jobs accepted here. */
export function jobStatus(
  state: StateReader,
  jobId: string,
  now: number,
  startedAt: number,
): JobStatus {
  const progress = state.read(DURABLE_PROGRESS).get(jobId);
  if (progress !== undefined) {
    return progress.state;
  }
  if (state.read(ACCEPTED_JOBS).has(jobId)) {
    return 'queued';
  }
  return isJournalCurrent(state, now, startedAt) ? 'absent' : 'unsure';
}

/** Whether this host has read the journal recently and completely. */
function isJournalCurrent(
  state: StateReader,
  now: number,
  startedAt: number,
): boolean {
  const {
    journalReadAt,
    holderHeardAt,
    isCaughtUp,
    phase,
    holdingBeganAt: beganAt,
  } = state.read(HOLDING).get();
  const isHolderFresh = now - holderHeardAt < MAX_JOURNAL_AGE_MILLIS;
  const isJournalFresh = now - journalReadAt < MAX_JOURNAL_AGE_MILLIS;
  const settlingSince =
    phase === 'holding' ? Math.max(startedAt, beganAt) : startedAt;
  return (
    isCaughtUp &&
    isHolderFresh &&
    isJournalFresh &&
    now - settlingSince > SETTLING_MILLIS
  );
}

/** Counts the accepted jobs of a queue that have not started a task. */
export function countPending(state: StateReader, queue: string): number {
  const durableProgress = state.read(DURABLE_PROGRESS);
  let count = 0;
  for (const progress of durableProgress.values()) {
    if (progress.queue === queue && progress.state === 'queued') {
      count++;
    }
  }
  for (const [jobId, acceptedJob] of state.read(ACCEPTED_JOBS).entries()) {
    if (acceptedJob.queue === queue && !durableProgress.has(jobId)) {
      count++;
    }
  }
  return count;
}
