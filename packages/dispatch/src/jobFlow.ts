import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  DURABLE_PROGRESS,
  recordForgottenJob,
  recordProgress,
} from '@samphireramp/holding';
import {RUNS, adoptRun, changeRun, stopRun} from '@samphireramp/fleet';
import {
  type Job,
  type JobState,
  type Progress,
  occurrenceDueAt,
  isFinalState,
  isOccurrenceDone,
  markStarted,
  mayAccessJob,
  newOccurrence,
  newProgress,
  reservedResources,
  runKey,
} from '@samphireramp/jobs';
import {deleteAdviceOfJob} from './adviceState';
import {listSuspected} from './crashSuspects';
import {beginTrial} from './crashTrials';
import {
  CANCELLED_JOBS,
  END_SEEN_AT,
  JOBS,
  type JobRow,
  expectedRunMillis,
  listActiveJobs,
  expectsProgress,
  newJobRow,
  setProgress,
} from './DispatchState';
import {REQUEST_PARTITIONS, onRequestsDeleted} from './endedRequests';
import {
  adoptRunsOfEndedJob,
  listPlacedRuns,
  occurrencesAfterEnd,
} from './endedRuns';
import {
  DISPATCH_EVENT,
  FORGET_REQUESTS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
} from './messages';
import type {PlacementFunctions} from './placementFunctions';
import {schedulePlacement} from './schedulePlacement';
import {isEndKept, mayBeRequestOf} from './unreadJobs';

/** Maximum ended jobs whose requests are removed at once. */
const MAX_FORGOTTEN_JOBS = 200;

/** Occurrences beyond the first start only up to so many tasks of a job. */
const MAX_OPEN_TASKS = 5000;

/** Applies submissions and cancellations of callers. */
export function applyRequests(
  update: Update,
  {requests}: PayloadOf<typeof REQUESTS_READ>,
  wallClock: () => number,
  virtualDelayMillis: PlacementFunctions['virtualDelayMillis'],
): void {
  for (const request of requests) {
    if (request.kind === 'submit') {
      const {job} = request;
      addJob(update, job, wallClock(), () => virtualDelayMillis(update, job));
    } else {
      const {jobId, account} = request;
      const accounts = update.read(CANCELLED_JOBS).get(jobId) ?? new Set();
      if (!accounts.has(account)) {
        const added = new Set([...accounts, account]);
        update.write(CANCELLED_JOBS).set(jobId, added);
        cancelIfRequested(update, jobId, wallClock());
      }
    }
  }
  schedulePlacement(update);
}

/** Adds a submitted job, or resumes it if a holder recorded its progress. */
function addJob(
  update: Update,
  job: Job,
  wallNow: number,
  virtualDelayMillis: () => number,
): void {
  if (update.read(JOBS).has(job.id)) {
    return;
  }
  const durableProgress = update.read(DURABLE_PROGRESS).get(job.id);
  if (durableProgress !== undefined && isFinalState(durableProgress.state)) {
    adoptRunsOfEndedJob(update, job, durableProgress, wallNow);
    return;
  }
  if (durableProgress !== undefined && !mayBeRequestOf(job, durableProgress)) {
    update.emit(DISPATCH_EVENT, {
      event: 'request-ignored',
      subject: job.id,
      detail: 'other-job',
    });
    return;
  }
  const account = durableProgress?.account || job.account;
  const progress = {...(durableProgress ?? newProgress(job)), account};
  const row = newJobRow({...job, account}, progress, virtualDelayMillis());
  update.write(JOBS).set(job.id, row);
  if (durableProgress === undefined) {
    recordProgress(update, row.progress);
    emitJobEvent(
      update,
      row,
      'job-taken',
      Math.round(wallNow - job.receivedAt),
    );
  } else {
    if (durableProgress.account !== account) {
      // A holder of a build without accounts recorded it.
      recordProgress(update, progress);
    }
    adoptPlacedRuns(update, row);
  }
  cancelIfRequested(update, job.id, wallNow);
  // Does nothing if the job is cancelled.
  startOccurrencesOfJob(update, job.id, wallNow);
}

/**
 * Adopts the runs that an earlier holder placed, so that their resources stay
 * reserved until the workers report them.
 */
function adoptPlacedRuns(update: Update, row: JobRow): void {
  const {job, progress} = row;
  let isReported = false;
  for (const {runId, task} of listPlacedRuns(progress)) {
    const key = runKey(runId);
    if (isEndKept(update, task.worker, runId)) {
      continue;
    }
    const definition = job.steps[runId.step];
    const described = {
      account: job.account,
      reserved: reservedResources(definition),
      expectedMillis: expectedRunMillis(definition, definition.estimateMillis),
      expectsProgress: expectsProgress(definition),
    };
    const known = update.read(RUNS).get(key);
    if (known?.incarnation === task.worker) {
      // It was adopted before the request of its job was read.
      changeRun(update, key, described);
      isReported ||= known.isReported;
    } else {
      adoptRun(update, {runId, incarnation: task.worker, ...described});
    }
  }
  resumeTrials(update, row);
  if (isReported && progress.state === 'queued') {
    setProgress(update, row, markStarted(progress));
  }
}

/** Goes on with the trials of suspected tasks that an earlier holder placed. */
function resumeTrials(update: Update, {job, progress}: JobRow): void {
  for (const {number: occurrence, steps} of progress.occurrences) {
    steps.forEach((tasks, step) => {
      for (const index of listSuspected(job.steps[step], tasks)) {
        const {phase, run} = tasks[index];
        if (phase === 'placed') {
          beginTrial(update, {jobId: job.id, occurrence, step, index, run});
        }
      }
    });
  }
}

/** Starts the due occurrences of a job. */
export function startOccurrencesOfJob(
  update: Update,
  jobId: string,
  wallNow: number,
): void {
  const row = update.read(JOBS).get(jobId);
  if (row === undefined || isFinalState(row.progress.state)) {
    return;
  }
  const {job} = row;
  let {nextOccurrence, occurrences} = row.progress;
  const tasks = job.steps.reduce((sum, {count}) => sum + count, 0);
  while (
    nextOccurrence < job.occurrences &&
    (occurrences.length === 0 ||
      (occurrences.length + 1) * tasks <= MAX_OPEN_TASKS) &&
    occurrenceDueAt(job, nextOccurrence) <= wallNow
  ) {
    occurrences = [...occurrences, newOccurrence(job, nextOccurrence)];
    nextOccurrence++;
  }
  if (nextOccurrence !== row.progress.nextOccurrence) {
    // This isn't recorded: no task has run yet, so a new holder can repeat it.
    const progress = {...row.progress, occurrences, nextOccurrence};
    update.write(JOBS).set(jobId, {...row, progress});
  }
}

/** Starts the due occurrences of all jobs. */
export function startDueOccurrences(update: Update, wallNow: number): void {
  for (const {job, progress} of listActiveJobs(update)) {
    if (progress.nextOccurrence < job.occurrences) {
      startOccurrencesOfJob(update, job.id, wallNow);
    }
  }
}

/** Stores progress without done occurrences; the last one completes the job. */
export function removeDoneOccurrences(
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

/** Puts a job into a final state and stops its runs. */
export function endJob(
  update: Update,
  row: JobRow,
  progress: Progress,
  state: JobState,
  wallNow: number,
): void {
  const occurrences = occurrencesAfterEnd(row.job, progress);
  const ended = {...progress, occurrences, state, endedAt: wallNow};
  setProgress(update, row, ended);
  deleteAdviceOfJob(update, row.job.id);
  // Its other runs are being stopped already.
  for (const {runId} of listPlacedRuns(row.progress)) {
    const run = update.read(RUNS).get(runKey(runId));
    // The tasks of a gang finish together, so its other runs end by themselves.
    const {isGang} = row.job.steps[runId.step];
    if (run !== undefined && (state !== 'completed' || !isGang)) {
      stopRun(update, run, `job-${state}`);
    }
  }
  emitJobEvent(
    update,
    row,
    `job-${state}`,
    Math.round(wallNow - row.job.receivedAt),
    `objective-in-${Math.round(row.objectiveAt - wallNow)}`,
  );
}

/** Ends a job that can't go on as failed. */
export function failJob(update: Update, jobId: string, wallNow: number): void {
  const row = update.read(JOBS).get(jobId);
  if (row !== undefined && !isFinalState(row.progress.state)) {
    // Its progress may be what is too large to be recorded.
    const progress = {...row.progress, occurrences: []};
    endJob(update, row, progress, 'failed', wallNow);
  }
}

/** Ends a job as cancelled if a caller that may access it has cancelled it. */
function cancelIfRequested(
  update: Update,
  jobId: string,
  wallNow: number,
): void {
  const row = update.read(JOBS).get(jobId);
  if (row === undefined || isFinalState(row.progress.state)) {
    return;
  }
  const accounts = [...(update.read(CANCELLED_JOBS).get(jobId) ?? [])];
  if (accounts.some(account => mayAccessJob(account, row.job.account))) {
    endJob(update, row, row.progress, 'cancelled', wallNow);
  } else if (accounts.length > 0) {
    emitJobEvent(update, row, 'cancel-ignored', 0, 'other-account');
  }
}

/**
 * Has the log remove the requests about jobs that this holder has known to be over
 * for more than `keepMillis`; `onRequestsForgotten` then deletes their records. The
 * time at which a job ended isn't used: the clock of another host told it.
 */
export function forgetEndedJobs(update: Update, keepMillis: number): void {
  const endSeenAt = update.write(END_SEEN_AT);
  const jobIds: string[] = [];
  for (const {jobId, state} of update.read(DURABLE_PROGRESS).values()) {
    if (!isFinalState(state)) {
      continue;
    }
    const seenAt = endSeenAt.get(jobId);
    if (seenAt === undefined) {
      endSeenAt.set(jobId, update.now);
    } else if (
      update.now - seenAt > keepMillis &&
      jobIds.length < MAX_FORGOTTEN_JOBS
    ) {
      jobIds.push(jobId);
    }
  }
  if (jobIds.length > 0) {
    update.emit(FORGET_REQUESTS, {jobIds, partition: undefined});
  }
}

/**
 * Deletes the records of jobs whose requests are removed. In the other order, a
 * new holder would find a request without the record that its job has ended,
 * and would run the job again.
 */
export function onRequestsForgotten(
  update: Update,
  {jobIds, partition}: PayloadOf<typeof REQUESTS_FORGOTTEN>,
): void {
  if (partition !== undefined) {
    onRequestsDeleted(update, partition, jobIds);
    return;
  }
  for (const jobId of jobIds) {
    recordForgottenJob(update, jobId);
    update.write(JOBS).delete(jobId);
    update.write(CANCELLED_JOBS).delete(jobId);
    update.write(END_SEEN_AT).delete(jobId);
    update.write(REQUEST_PARTITIONS).delete(jobId);
  }
}

function emitJobEvent(
  update: Update,
  {job}: JobRow,
  event: string,
  millis: number,
  detail?: string,
): void {
  update.emit(DISPATCH_EVENT, {
    event,
    subject: job.id,
    queue: job.policy.name,
    millis,
    detail,
    account: job.account || undefined,
  });
}
