import {JOB_STATES, knowsJobsUntil} from '@samphireramp/job-states';
import {type JobState, mayAccessJob} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import {ACCEPTED_JOBS} from './IntakeState';

/** Time that an answer may take to reach its caller, while it goes out of date. */
const ANSWER_MARGIN_MILLIS = 1000;
/** How much older than the state of a job the number of pending jobs may be. */
const PENDING_AGE_MILLIS = 2000;

/**
 * The status of a job for callers: its state, `absent` if there is no such job,
 * or `unsure` if this host can't tell whether there is.
 */
export type JobStatus = JobState | 'absent' | 'unsure';

/** A number of jobs, or `unsure` if this host may not know all of them. */
export type PendingCount = number | 'unsure';

/**
 * Finds the status of a job in the published states and the jobs accepted here. A job
 * that was accepted longer than `visibleMillis` ago is never `absent` for its account.
 * A job that the caller's account may not access is treated as one that this host does
 * not know.
 */
export function jobStatus(
  state: StateReader,
  jobId: string,
  now: number,
  visibleMillis: number,
  caller?: string,
): JobStatus {
  if (!isOfOtherAccount(state, jobId, caller)) {
    const known = state.read(JOB_STATES).get(jobId);
    if (known !== undefined) {
      return known.state;
    }
    if (state.read(ACCEPTED_JOBS).has(jobId)) {
      return 'queued';
    }
  }
  return areJobsKnown(state, now - visibleMillis) ? 'absent' : 'unsure';
}

/** Whether this host knows a job that the caller's account may not access. */
export function isOfOtherAccount(
  state: StateReader,
  jobId: string,
  caller: string | undefined,
): boolean {
  const known =
    state.read(JOB_STATES).get(jobId) ?? state.read(ACCEPTED_JOBS).get(jobId);
  return known !== undefined && !mayAccessJob(caller, known.account);
}

/**
 * Counts the accepted jobs of a queue that have not started a task, among them
 * all that were accepted `PENDING_AGE_MILLIS` before they must be visible.
 */
export function countPending(
  state: StateReader,
  queue: string,
  now: number,
  visibleMillis: number,
): PendingCount {
  if (!areJobsKnown(state, now - visibleMillis - PENDING_AGE_MILLIS)) {
    return 'unsure';
  }
  const jobStates = state.read(JOB_STATES);
  let count = jobStates.withKey(queue).length;
  for (const [jobId, acceptedJob] of state.read(ACCEPTED_JOBS).entries()) {
    if (acceptedJob.queue === queue && !jobStates.has(jobId)) {
      count++;
    }
  }
  return count;
}

/**
 * Whether this host knows every job that was accepted before a time, and those
 * accepted while its answer is on the way.
 */
function areJobsKnown(state: StateReader, acceptedBefore: number): boolean {
  return knowsJobsUntil(state, acceptedBefore + ANSWER_MARGIN_MILLIS);
}
