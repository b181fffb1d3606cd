import {HOLDING, DURABLE_PROGRESS} from '@samphireramp/holding';
import type {JobState} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import {ACCEPTED} from './intakePlugin';

/** The journal must have been read this lately to say that a job is absent. */
const FRESH_MILLIS = 1500;
/** ... and followed for this long, so that late requests have shown up. */
const SETTLED_MILLIS = 6000;

/** What a caller is told of a job; `unsure` where this host can't know. */
export type JobStatus = JobState | 'absent' | 'unsure';

/** Tells the state of a job from what is durable. */
export function jobStatus(
  state: StateReader,
  jobId: string,
  now: number,
  startedAt: number,
): JobStatus {
  const view = state.read(DURABLE_PROGRESS).get(jobId);
  if (view !== undefined) {
    return view.state;
  }
  if (state.read(ACCEPTED).has(jobId)) {
    return 'queued';
  }
  return knowsAll(state, now, startedAt) ? 'absent' : 'unsure';
}

/** Whether what this host has read is recent and complete. */
function knowsAll(state: StateReader, now: number, startedAt: number): boolean {
  const {
    journalReadAt: readAt,
    holderHeardAt: heardAt,
    isCaughtUp,
    phase,
    beganAt,
  } = state.read(HOLDING).get();
  const heardLately = now - heardAt < FRESH_MILLIS;
  const readLately = now - readAt < FRESH_MILLIS;
  const since = phase === 'holding' ? Math.max(startedAt, beganAt) : startedAt;
  return (
    isCaughtUp && heardLately && readLately && now - since > SETTLED_MILLIS
  );
}

/** Counts the accepted jobs of a queue of which no task has started. */
export function countPending(state: StateReader, queue: string): number {
  const views = state.read(DURABLE_PROGRESS);
  let count = 0;
  for (const view of views.values()) {
    if (view.queue === queue && view.state === 'queued') {
      count++;
    }
  }
  for (const [jobId, accepted] of state.read(ACCEPTED).entries()) {
    if (accepted.queue === queue && !views.has(jobId)) {
      count++;
    }
  }
  return count;
}
