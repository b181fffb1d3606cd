import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  DURABLE_PROGRESS,
  recordForgotten,
  recordProgress,
} from '@samphireramp/holding';
import {RUNS, type Run, adoptRun, stopRun} from '@samphireramp/fleet';
import {
  type Job,
  type JobState,
  type Progress,
  dueAt,
  isFinal,
  isOccurrenceDone,
  newOccurrence,
  newProgress,
  reservedResources,
} from '@samphireramp/jobs';
import {deleteAdviceOfJob} from './adviceState';
import {
  CANCELLED,
  JOBS,
  type JobRow,
  activeJobs,
  mayStall,
  newJobRow,
  setProgress,
} from './DispatchState';
import {
  DISPATCH_EVENT,
  FORGET_REQUESTS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
} from './messages';
import {schedulePlacement} from './schedulePlacement';

/** Jobs forgotten in one go at the most. */
const MOST_FORGOTTEN = 200;

/** Takes in what callers asked for. */
export function takeRequests(
  update: Update,
  {requests}: PayloadOf<typeof REQUESTS_READ>,
  wallClock: () => number,
): void {
  for (const request of requests) {
    if (request.kind === 'submit') {
      takeJob(update, request.job, wallClock());
    } else if (!update.read(CANCELLED).has(request.jobId)) {
      update.write(CANCELLED).set(request.jobId, true);
      cancelJob(update, request.jobId, wallClock());
    }
  }
  schedulePlacement(update);
}

function takeJob(update: Update, job: Job, wallNow: number): void {
  if (update.read(JOBS).has(job.id)) {
    return;
  }
  const known = update.read(DURABLE_PROGRESS).get(job.id);
  if (known !== undefined && isFinal(known.state)) {
    return;
  }
  const row = newJobRow(job, known ?? newProgress(job));
  update.write(JOBS).set(job.id, row);
  if (known === undefined) {
    recordProgress(update, row.progress);
    emitJob(update, row, 'job-taken', Math.round(wallNow - job.receivedAt));
  } else {
    expectRuns(update, row);
  }
  if (update.read(CANCELLED).has(job.id)) {
    cancelJob(update, job.id, wallNow);
  } else {
    beginOccurrences(update, job.id, wallNow);
  }
}

/** Counts runs that an earlier holder placed until their workers tell. */
function expectRuns(update: Update, {job, progress}: JobRow): void {
  for (const {number: occurrence, steps} of progress.occurrences) {
    steps.forEach((tasks, step) => {
      tasks.forEach((task, index) => {
        if (task.phase === 'placed') {
          const place = {jobId: job.id, occurrence, step, index, run: task.run};
          const itsStep = job.steps[step];
          const need = reservedResources(itsStep);
          adoptRun(update, place, task.worker, need, mayStall(itsStep));
        }
      });
    });
  }
}

/** Begins the occurrences of a job that are due. */
export function beginOccurrences(
  update: Update,
  jobId: string,
  wallNow: number,
): void {
  const row = update.read(JOBS).get(jobId);
  if (row === undefined || isFinal(row.progress.state)) {
    return;
  }
  const {job} = row;
  let {nextOccurrence, occurrences} = row.progress;
  while (
    nextOccurrence < job.occurrences &&
    dueAt(job, nextOccurrence) <= wallNow
  ) {
    occurrences = [...occurrences, newOccurrence(job, nextOccurrence)];
    nextOccurrence++;
  }
  if (nextOccurrence !== row.progress.nextOccurrence) {
    // Nothing has run yet, so that nothing is lost if this is not written.
    const progress = {...row.progress, occurrences, nextOccurrence};
    update.write(JOBS).set(jobId, {...row, progress});
  }
}

/** Begins what is due of all jobs. */
export function beginDue(update: Update, wallNow: number): void {
  for (const {job, progress} of activeJobs(update)) {
    if (progress.nextOccurrence < job.occurrences) {
      beginOccurrences(update, job.id, wallNow);
    }
  }
}

/** Drops occurrences that are done, and ends the job after the last. */
export function settleProgress(
  update: Update,
  row: JobRow,
  progress: Progress,
  wallNow: number,
): void {
  const occurrences = progress.occurrences.filter(
    occurrence => !isOccurrenceDone(occurrence),
  );
  const isOver =
    occurrences.length === 0 && progress.nextOccurrence >= row.job.occurrences;
  if (isOver) {
    endJob(update, row, {...progress, occurrences}, 'completed', wallNow);
  } else {
    setProgress(update, row, {...progress, occurrences});
  }
}

/** Ends a job in a final state, and stops what still runs of it. */
export function endJob(
  update: Update,
  row: JobRow,
  progress: Progress,
  state: JobState,
  wallNow: number,
): void {
  const ended = {...progress, occurrences: [], state, endedAt: wallNow};
  setProgress(update, row, ended);
  deleteAdviceOfJob(update, row.job.id);
  for (const run of runsOf(update, row.job.id)) {
    // The members of a gang are done together, whoever tells of it first.
    const {isGang} = row.job.steps[run.runId.step];
    if (state !== 'completed' || !isGang) {
      stopRun(update, run, `job-${state}`);
    }
  }
  emitJob(
    update,
    row,
    `job-${state}`,
    Math.round(wallNow - row.job.receivedAt),
    `objective-in-${Math.round(row.objectiveAt - wallNow)}`,
  );
}

function cancelJob(update: Update, jobId: string, wallNow: number): void {
  const row = update.read(JOBS).get(jobId);
  if (row !== undefined && !isFinal(row.progress.state)) {
    endJob(update, row, row.progress, 'cancelled', wallNow);
  }
}

function runsOf(update: Update, jobId: string): Run[] {
  return [...update.read(RUNS).values()].filter(
    run => run.runId.jobId === jobId,
  );
}

/** Begins to forget jobs that ended so long ago that nobody may ask for them. */
export function forgetEnded(
  update: Update,
  wallNow: number,
  keepMillis: number,
): void {
  const jobIds: string[] = [];
  for (const view of update.read(DURABLE_PROGRESS).values()) {
    const isOld = view.endedAt > 0 && wallNow - view.endedAt > keepMillis;
    if (isOld && jobIds.length < MOST_FORGOTTEN) {
      jobIds.push(view.jobId);
    }
  }
  if (jobIds.length > 0) {
    update.emit(FORGET_REQUESTS, {jobIds});
  }
}

/**
 * Forgets jobs whose requests are gone. In the other order, a next holder would
 * find a request without a trace that its job has ended, and run it again.
 */
export function onRequestsForgotten(
  update: Update,
  {jobIds}: PayloadOf<typeof REQUESTS_FORGOTTEN>,
): void {
  for (const jobId of jobIds) {
    recordForgotten(update, jobId);
    update.write(JOBS).delete(jobId);
    update.write(CANCELLED).delete(jobId);
  }
}

function emitJob(
  update: Update,
  {job}: JobRow,
  event: string,
  millis: number,
  detail?: string,
): void {
  const queue = job.policy.name;
  update.emit(DISPATCH_EVENT, {event, subject: job.id, queue, millis, detail});
}
