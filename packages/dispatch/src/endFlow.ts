import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  RUNS,
  RUN_CONFIRMED,
  RUN_ENDED,
  UNEXPECTED_RUN_REPORTED,
  RUN_DISCARDED,
  adoptRun,
  avoidWorker,
  recordDuration,
  recordFailure,
  recordSuccess,
  stopRun,
  totalResources,
} from '@samphireramp/fleet';
import {
  type Progress,
  type RunId,
  type Step,
  type Task,
  updateStepTasks,
  updateTask,
  isFinal,
  reservedResources,
  runKey,
  findTask,
  taskKey,
} from '@samphireramp/jobs';
import {match} from 'ts-pattern';
import {invalidateTicket, delayStep} from './adviceState';
import {JOBS, type JobRow, policyOf, setProgress} from './DispatchState';
import {endJob, settleProgress} from './jobFlow';
import {DISPATCH_EVENT} from './messages';
import {schedulePlacement} from './schedulePlacement';

/** How long a worker that called itself unhealthy is avoided. */
const UNHEALTHY_AVOID_MILLIS = 1000;
/** Wait before a step is tried again after a worker refused a run of it. */
const REFUSED_HOLD_OFF_MILLIS = 100;

interface Found {
  readonly row: JobRow;
  readonly step: Step;
  readonly task: Task;
}

function find(update: Update, place: RunId): Found | undefined {
  const row = update.read(JOBS).get(place.jobId);
  if (row === undefined || isFinal(row.progress.state)) {
    return undefined;
  }
  const task = findTask(row.progress, place);
  const step = row.job.steps[place.step];
  return task && step && {row, step, task};
}

/** Decides what the end of a run means for its task. */
export function onRunEnded(
  update: Update,
  {
    incarnation: life,
    runId: place,
    outcome: how,
    checkpoint,
    ranMillis,
  }: PayloadOf<typeof RUN_ENDED>,
  wallClock: () => number,
): void {
  schedulePlacement(update);
  const found = find(update, place);
  // That a job is done tells of all its runs; only other ends need a line.
  if (how !== 'done') {
    emitEnd(update, place, life, found ? how : `${how}-unneeded`);
  }
  if (found === undefined || found.task.phase === 'done') {
    return;
  }
  if (how === 'done' && !found.step.isService) {
    recordSuccess(update, life);
    if (ranMillis !== undefined && checkpoint === '' && !found.step.isGang) {
      recordDuration(update, life, ranMillis, found.step.estimateMillis);
    }
    onDone(update, found, place, wallClock());
    return;
  }
  if (how === 'failed' && !found.step.isService) {
    onFailed(update, found, place, life, wallClock());
    return;
  }
  setProgress(update, found.row, reopen(found, place, checkpoint));
}

/** Changes what a run stands for: all tasks of a gang, else its own. */
function changeTasksOf(
  progress: Progress,
  step: Step,
  place: RunId,
  change: (task: Task) => Task,
): Progress {
  return step.isGang
    ? updateStepTasks(progress, place, change)
    : updateTask(progress, place, change);
}

function onDone(
  update: Update,
  {row, step, task}: Found,
  place: RunId,
  wallNow: number,
): void {
  const isOtherRun = task.phase === 'placed' && task.run !== place.run;
  const done = (before: Task): Task => ({
    ...before,
    phase: 'done',
    worker: '',
    checkpoint: '',
  });
  if (isOtherRun) {
    stopOther(update, {...place, run: task.run});
  }
  const progress = changeTasksOf(row.progress, step, place, done);
  settleProgress(update, row, progress, wallNow);
}

function onFailed(
  update: Update,
  found: Found,
  place: RunId,
  life: string,
  wallNow: number,
): void {
  const {row, step, task} = found;
  if (task.failedRuns.length === 0) {
    recordFailure(update, life, place.jobId);
  }
  const count = (before: Task): Task =>
    before.failedRuns.includes(place.run)
      ? before
      : {...before, failedRuns: [...before.failedRuns, place.run]};
  const reopened = reopen(found, place, '');
  // A run of a gang fails once, however many of its members do.
  const progress = changeTasksOf(reopened, step, place, count);
  const failures = findTask(progress, place)?.failedRuns.length ?? 0;
  if (failures >= policyOf(update, row.job).maxAttempts) {
    endJob(update, row, progress, 'failed', wallNow);
  } else {
    setProgress(update, row, progress);
  }
}

/** Makes the task of an ended run ready for another. */
function reopen(
  {row, step, task}: Found,
  place: RunId,
  checkpoint: string,
): Progress {
  const isCurrent = task.phase === 'placed' && task.run === place.run;
  let {progress} = row;
  if (isCurrent) {
    progress = updateTask(progress, place, before => ({
      ...before,
      phase: 'open',
      worker: '',
    }));
  }
  if (checkpoint === '') {
    return progress;
  }
  const keep = (before: Task): Task =>
    before.phase === 'done' ? before : {...before, checkpoint};
  return changeTasksOf(progress, step, place, keep);
}

/** Makes a task ready for another run after one that surely is not there. */
export function onRunVoid(
  update: Update,
  {
    runId: place,
    incarnation: life,
    checkpoint,
    reason,
  }: PayloadOf<typeof RUN_DISCARDED>,
): void {
  schedulePlacement(update);
  emitEnd(update, place, life, `void-${reason}`);
  match(reason)
    .with('bad-ticket', () => invalidateTicket(update, place, life))
    .with('unhealthy', () =>
      avoidWorker(update, life, UNHEALTHY_AVOID_MILLIS, 'unhealthy'),
    )
    .with('no-room', 'late', 'superseded', 'malformed', () =>
      delayStep(update, place, REFUSED_HOLD_OFF_MILLIS),
    )
    .otherwise(() => undefined);
  const found = find(update, place);
  if (found !== undefined && found.task.phase !== 'done') {
    setProgress(update, found.row, reopen(found, place, checkpoint));
  }
}

/** Notes the first sign of a run. */
export function onRunConfirmed(
  update: Update,
  {runId: place}: PayloadOf<typeof RUN_CONFIRMED>,
): void {
  if (find(update, place) === undefined) {
    stopOther(update, place);
  }
}

/** Decides on a run that a worker lists and this holder did not order. */
export function onRunFound(
  update: Update,
  {incarnation: life, run}: PayloadOf<typeof UNEXPECTED_RUN_REPORTED>,
): void {
  const {runId: place} = run;
  const found = find(update, place);
  const step = update.read(JOBS).get(place.jobId)?.job.steps[place.step];
  const need = step ? reservedResources(step) : totalResources(update, life);
  adoptRun(update, place, life, need, false);
  const isWanted =
    found?.task.phase === 'placed' &&
    found.task.run === place.run &&
    found.task.worker === life;
  update.emit(DISPATCH_EVENT, {
    event: 'run-found',
    subject: taskKey(place),
    worker: life,
    detail: isWanted ? 'kept' : 'unneeded',
  });
  if (!isWanted) {
    stopOther(update, place);
  }
}

function stopOther(update: Update, place: RunId): void {
  const run = update.read(RUNS).get(runKey(place));
  if (run !== undefined) {
    stopRun(update, run, 'unneeded');
  }
}

function emitEnd(
  update: Update,
  place: RunId,
  worker: string,
  detail: string,
): void {
  const subject = runKey(place);
  update.emit(DISPATCH_EVENT, {event: 'run-ended', subject, worker, detail});
}
