import {HOLDING, DURABLE_PROGRESS} from '@samphireramp/holding';
import type {JobState} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import {ACCEPTED_JOBS} from './intakePlugin';

/**
 * This host reports an unknown job as absent only if, within this time, it has
 * read or appended to the journal, and has read or appended a holder record.
 */
const MAX_JOURNAL_AGE_MILLIS = 1500;
/**
 * This host reports an unknown job as absent only if it started, and on the holder
 * its holding began, longer ago than this. By then, requests that were appended
 * late are in the journal.
 */
const SETTLING_MILLIS = 6000;

/**
 * The status of a job for callers: its state, `absent` if there is no such job,
 * or `unsure` if this host can't tell whether there is.
 */
export type JobStatus = JobState | 'absent' | 'unsure';

/** Finds the status of a job in durable progress and the jobs accepted here. */
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
