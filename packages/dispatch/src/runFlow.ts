import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  RUNS,
  RUN_CONFIRMED,
  RUN_ENDED,
  RUN_MOVED,
  UNEXPECTED_RUN_REPORTED,
  RUN_DISCARDED,
  START_GIVEN_UP,
  adoptRun,
  avoidWorker,
  recordDuration,
  recordFailure,
  recordSuccess,
  stopRun,
  totalResources,
} from '@samphireramp/fleet';
import {
  NO_ACCOUNT,
  type Progress,
  type RunId,
  type Task,
  findTask,
  markStarted,
  reservedResources,
  runKey,
  taskKey,
  updateTask,
  updateTasksOfRun,
} from '@samphireramp/jobs';
import {match} from 'ts-pattern';
import {type ActiveTask, findActiveTask} from './activeTask';
import {delayStep, invalidateTicket} from './adviceState';
import {
  JOBS,
  type JobRow,
  expectedRunMillis,
  policyOf,
  setProgress,
} from './DispatchState';
import {stopIncompleteGang, stopUnstartedMembers} from './gangFlow';
import {endJob, removeDoneOccurrences} from './jobFlow';
import {DISPATCH_EVENT} from './messages';
import type {PlacementFunctions} from './placementFunctions';
import {schedulePlacement} from './schedulePlacement';
import {placeAfterStart} from './TaskAllowance';
import {findUnreadProgress, keepEnd} from './unreadJobs';

/** A worker is avoided for this long after it refused a run as unhealthy. */
const UNHEALTHY_AVOID_MILLIS = 1000;
/** A step isn't placed for this long after a worker refused a run of it. */
const REFUSED_DELAY_MILLIS = 100;

/** Updates the task and job of a run that ended, as its outcome requires. */
export function onRunEnded(
  update: Update,
  end: PayloadOf<typeof RUN_ENDED>,
  wallClock: () => number,
  functions: Pick<PlacementFunctions, 'expectedMillis' | 'onRunFinished'>,
): void {
  const {incarnation, runId, outcome, checkpoint, ranMillis} = end;
  schedulePlacement(update);
  const found = findActiveTask(update, runId);
  if (findUnreadProgress(update, runId.jobId) !== undefined) {
    keepEnd(update, end);
    return;
  }
  // The event of a completed job covers its done runs; only other outcomes are
  // logged one by one.
  if (outcome !== 'done') {
    emitRunEnded(
      update,
      runId,
      incarnation,
      found ? outcome : `${outcome}-unneeded`,
    );
  }
  if (found === undefined || found.task.phase === 'done') {
    return;
  }
  // A run may start and end between two reports of its worker.
  const progress = markStarted(found.row.progress);
  const active = {...found, row: {...found.row, progress}};
  if (outcome === 'done' && !active.step.isService) {
    recordSuccess(update, incarnation);
    if (ranMillis !== undefined) {
      learnFrom(update, active, runId, incarnation, ranMillis, functions);
    }
    onRunDone(update, active, runId, wallClock());
    return;
  }
  stopUnstartedMembers(update, runId);
  if (outcome === 'failed' && !active.step.isService) {
    onRunFailed(update, active, runId, incarnation, wallClock());
    return;
  }
  setProgress(update, active.row, reopenTask(active, runId, checkpoint));
}

/** Judges the worker of a run that is done, and has the run time learnt. */
function learnFrom(
  update: Update,
  {row: {job}, step, task}: ActiveTask,
  runId: RunId,
  incarnation: string,
  ranMillis: number,
  functions: Pick<PlacementFunctions, 'expectedMillis' | 'onRunFinished'>,
): void {
  const isResumed = task.checkpoint !== '';
  if (!isResumed && !step.isGang) {
    // Before it is learnt, as the run itself must not tell what was expected.
    const expected = functions.expectedMillis(update, job, runId.step);
    recordDuration(update, incarnation, ranMillis, expected);
  }
  functions.onRunFinished(update, {
    job,
    stepNumber: runId.step,
    worker: incarnation,
    ranMillis: step.isGang
      ? gangMillis(update, runId, step.count, ranMillis)
      : ranMillis,
    isResumed,
  });
}

/**
 * Time for which all members of a gang ran, of which one has ended: the others may have
 * started later.
 */
function gangMillis(
  update: Update,
  runId: RunId,
  members: number,
  ranMillis: number,
): number {
  let shortest = ranMillis;
  for (let index = 0; index < members; index++) {
    const run = update.read(RUNS).get(runKey({...runId, index}));
    if (run?.startedAt !== undefined) {
      shortest = Math.min(shortest, update.now - run.startedAt);
    }
  }
  return shortest;
}

function onRunDone(
  update: Update,
  {row, step, task}: ActiveTask,
  runId: RunId,
  wallNow: number,
): void {
  const isOtherRunPlaced = task.phase === 'placed' && task.run !== runId.run;
  const asDone = (before: Task): Task => ({
    ...before,
    phase: 'done',
    worker: '',
    checkpoint: '',
  });
  if (isOtherRunPlaced) {
    stopUnneededRun(update, {...runId, run: task.run});
  }
  const progress = updateTasksOfRun(row.progress, step, runId, asDone);
  removeDoneOccurrences(update, row, progress, wallNow);
}

function onRunFailed(
  update: Update,
  active: ActiveTask,
  runId: RunId,
  incarnation: string,
  wallNow: number,
): void {
  const {row, step, task} = active;
  // Only the first failed run of a task may have been caused by its worker.
  if (task.failedRuns.length === 0) {
    recordFailure(update, incarnation, runId.jobId);
  }
  const withFailure = (before: Task): Task =>
    before.failedRuns.includes(runId.run)
      ? before
      : {...before, failedRuns: [...before.failedRuns, runId.run]};
  const reopened = reopenTask(active, runId, '');
  // A failed run of a gang counts once, however many of its tasks fail.
  const progress = updateTasksOfRun(reopened, step, runId, withFailure);
  const failures = findTask(progress, runId)?.failedRuns.length ?? 0;
  if (failures >= policyOf(update, row.job).maxAttempts) {
    endJob(update, row, progress, 'failed', wallNow);
  } else {
    setProgress(update, row, progress);
  }
}

/**
 * Returns the progress with the checkpoint of an ended run, if it left one, and
 * with its task open again, unless another run of the task is placed.
 */
function reopenTask(
  {row, step, task}: ActiveTask,
  runId: RunId,
  checkpoint: string,
): Progress {
  const isCurrentRun = task.phase === 'placed' && task.run === runId.run;
  let {progress} = row;
  if (isCurrentRun) {
    progress = updateTask(progress, runId, before => ({
      ...before,
      phase: 'open',
      worker: '',
    }));
  }
  if (checkpoint === '') {
    return progress;
  }
  const withCheckpoint = (before: Task): Task =>
    before.phase === 'done' ? before : {...before, checkpoint};
  return updateTasksOfRun(progress, step, runId, withCheckpoint);
}

/** Reopens the task of a discarded run. */
export function onRunDiscarded(
  update: Update,
  {runId, incarnation, checkpoint, reason}: PayloadOf<typeof RUN_DISCARDED>,
): void {
  schedulePlacement(update);
  emitRunEnded(update, runId, incarnation, `void-${reason}`);
  reactToRefusal(update, runId, incarnation, reason);
  const active = findActiveTask(update, runId);
  if (active !== undefined && active.task.phase !== 'done') {
    stopIncompleteGang(update, runId);
    setProgress(update, active.row, reopenTask(active, runId, checkpoint));
  }
}

/** Stops the gang of a run whose start its worker never confirmed. */
export function onStartGivenUp(
  update: Update,
  {runId, incarnation, reason}: PayloadOf<typeof START_GIVEN_UP>,
): void {
  placeAfterStart(update);
  reactToRefusal(update, runId, incarnation, reason);
  stopIncompleteGang(update, runId);
}

/**
 * Invalidates the ticket, avoids the worker or delays the step, as the reason
 * for which a worker refused a run requires; other reasons are ignored.
 */
function reactToRefusal(
  update: Update,
  runId: RunId,
  incarnation: string,
  reason: string,
): void {
  match(reason)
    .with('bad-ticket', () => invalidateTicket(update, runId, incarnation))
    .with('unhealthy', () =>
      avoidWorker(update, incarnation, UNHEALTHY_AVOID_MILLIS, 'unhealthy'),
    )
    .with('no-room', 'late', 'superseded', 'malformed', () =>
      delayStep(update, runId, REFUSED_DELAY_MILLIS),
    )
    .otherwise(() => undefined);
}

/**
 * Records that the job of a confirmed run has started. Stops the run if its job
 * or occurrence is over or unknown, unless the request of the job is not read.
 */
export function onRunConfirmed(
  update: Update,
  {runId}: PayloadOf<typeof RUN_CONFIRMED>,
): void {
  placeAfterStart(update);
  const active = findActiveTask(update, runId);
  if (active !== undefined) {
    recordStart(update, active.row);
  } else if (findUnreadProgress(update, runId.jobId) === undefined) {
    stopUnneededRun(update, runId);
  }
}

function recordStart(update: Update, row: JobRow): void {
  if (row.progress.state === 'queued') {
    setProgress(update, row, markStarted(row.progress));
  }
}

/** Adopts a run that this holder did not order, and stops it if unneeded. */
export function onUnexpectedRun(
  update: Update,
  {incarnation, run}: PayloadOf<typeof UNEXPECTED_RUN_REPORTED>,
): void {
  const {runId} = run;
  const active = findActiveTask(update, runId);
  const unread = findUnreadProgress(update, runId.jobId);
  const task = unread ? findTask(unread, runId) : active?.task;
  const job = update.read(JOBS).get(runId.jobId)?.job;
  const step = job?.steps[runId.step];
  // Without its step the needs of the run aren't known, so all resources of the
  // worker are reserved for it.
  const reserved = step
    ? reservedResources(step)
    : totalResources(update, incarnation);
  adoptRun(update, {
    runId,
    incarnation,
    account: (job ?? unread)?.account ?? NO_ACCOUNT,
    reserved,
    expectedMillis: step
      ? expectedRunMillis(step, step.estimateMillis)
      : Infinity,
    expectsProgress: false,
  });
  const isNeeded =
    task?.phase === 'placed' &&
    task.run === runId.run &&
    task.worker === incarnation;
  emitRunFound(update, runId, incarnation, isNeeded);
  if (active !== undefined) {
    recordStart(update, active.row);
  }
  if (!isNeeded) {
    stopUnneededRun(update, runId);
  }
}

/**
 * Keeps a run that the next life of its worker has, or stops it if it is unneeded. One
 * of a gang is, as the others are stopped once their worker has ended.
 */
export function onRunMoved(
  update: Update,
  {runId, from, to}: PayloadOf<typeof RUN_MOVED>,
): void {
  const active = findActiveTask(update, runId);
  const task = active?.task;
  const isCurrent =
    task?.phase === 'placed' && task.run === runId.run && task.worker === from;
  const isNeeded = isCurrent && active?.step.isGang === false;
  emitRunFound(update, runId, to, isNeeded);
  if (!isNeeded) {
    stopUnneededRun(update, runId);
    return;
  }
  const {row} = active;
  const progress = updateTask(markStarted(row.progress), runId, before => ({
    ...before,
    worker: to,
  }));
  setProgress(update, row, progress);
}

function emitRunFound(
  update: Update,
  runId: RunId,
  worker: string,
  isNeeded: boolean,
): void {
  update.emit(DISPATCH_EVENT, {
    event: 'run-found',
    subject: taskKey(runId),
    worker,
    detail: isNeeded ? 'kept' : 'unneeded',
  });
}

function stopUnneededRun(update: Update, runId: RunId): void {
  const run = update.read(RUNS).get(runKey(runId));
  if (run !== undefined) {
    stopRun(update, run, 'unneeded');
  }
}

function emitRunEnded(
  update: Update,
  runId: RunId,
  worker: string,
  detail: string,
): void {
  const subject = runKey(runId);
  update.emit(DISPATCH_EVENT, {event: 'run-ended', subject, worker, detail});
}
