import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {RUNS, type Run, WORKERS, type Worker} from '@samphireramp/fleet';
import {
  type RunId,
  type Step,
  type Task,
  runKey,
  taskKey,
  updateTasksOfRun,
} from '@samphireramp/jobs';
import {type ActiveTask, findActiveTask} from './activeTask';
import {type Trial, YOUNG_RUN_MILLIS, chooseTrial} from './crashSuspects';
import {setProgress} from './DispatchState';
import {DISPATCH_EVENT} from './messages';

/** Share of the workers that trials may occupy. */
const MAX_TRIAL_SHARE = 0.25;
/** A run that goes on for this long clears its task. */
const MIN_CLEARING_MILLIS = 60_000;
/** A run that goes on for this many times its estimate clears its task. */
const CLEARING_ESTIMATES = 4;
/** A kept worker is released if no task has waited for it for this long. */
const KEEP_UNUSED_MILLIS = 1000;

/** A run of a task that is suspected to crash workers. */
interface CrashTrial {
  readonly runId: RunId;
  readonly trial: Trial;
}

/** A worker that gets no tasks until a suspected one can be tried on it alone. */
interface KeptWorker {
  readonly since: number;
  /** When a task last waited for it. */
  readonly neededAt: number;
}

/** Runs of tasks that are suspected to crash workers, by run key. */
export const CRASH_TRIALS = createTableSlice<CrashTrial>('crash-trials');

/** Workers that are kept for trials, by incarnation. */
export const KEPT_WORKERS = createTableSlice<KeptWorker>('kept-workers');

/** Records that a run is placed, if its task is suspected. */
export function beginTrial(update: Update, runId: RunId, task: Task): void {
  const trial = chooseTrial(task);
  if (trial !== 'none') {
    update.write(CRASH_TRIALS).set(runKey(runId), {runId, trial});
  }
}

/** Has a worker get no tasks but a suspected one. */
export function keepForTrial(update: Update, incarnation: string): void {
  const kept = update.write(KEPT_WORKERS);
  const since = kept.get(incarnation)?.since ?? update.now;
  kept.set(incarnation, {since, neededAt: update.now});
}

/** What trials mean for the workers. */
export interface TrialOverview {
  /** Workers on which no other run may start now, by incarnation. */
  readonly exclusive: ReadonlySet<string>;
  /** Workers that have runs of suspected tasks, by incarnation. */
  readonly withSuspects: ReadonlySet<string>;
  /** Number of workers that trials may occupy at a time. */
  readonly maxTrials: number;
  /** Number of further workers that trials may occupy. */
  readonly freeTrials: number;
}

/**
 * Tells which workers trials occupy. One that a task may have crashed counts until
 * its runs are discarded.
 */
export function readTrials(state: StateReader, now: number): TrialOverview {
  const exclusive = new Set<string>();
  const withSuspects = new Set<string>();
  const occupied = new Set(state.read(KEPT_WORKERS).keys());
  for (const [key, {trial}] of state.read(CRASH_TRIALS).entries()) {
    const run = state.read(RUNS).get(key);
    if (run === undefined) {
      continue;
    }
    withSuspects.add(run.incarnation);
    if (trial !== 'apart') {
      occupied.add(run.incarnation);
    }
    if (trial === 'alone' || (trial === 'quiet' && isYoung(run, now))) {
      exclusive.add(run.incarnation);
    }
  }
  const share = Math.floor(state.read(WORKERS).size * MAX_TRIAL_SHARE);
  const maxTrials = Math.max(1, share);
  const freeTrials = maxTrials - occupied.size;
  return {exclusive, withSuspects, maxTrials, freeTrials};
}

/** Whether a run has just begun, or may have. */
export function isYoung({phase, startedAt}: Run, now: number): boolean {
  return startedAt === undefined
    ? phase === 'reserved' || phase === 'ordered'
    : now - startedAt <= YOUNG_RUN_MILLIS;
}

/**
 * Forgets runs that have ended, ends trials that the worker has survived, clears
 * tasks whose runs go on for long, and releases workers that no trial waits for.
 */
export function endTrials(update: Update): void {
  const trials = update.write(CRASH_TRIALS);
  for (const [key, {runId, trial}] of [...trials.entries()]) {
    const run = update.read(RUNS).get(key);
    const worker = run && update.read(WORKERS).get(run.incarnation);
    if (run === undefined || worker === undefined) {
      trials.delete(key);
      continue;
    }
    const survivedMillis = survivedFor(run, worker);
    const active = findActiveTask(update, runId);
    if (active !== undefined && survivedMillis > clearingMillis(active.step)) {
      trials.delete(key);
      clearSuspicion(update, runId, active);
    } else if (trial === 'quiet' && survivedMillis > YOUNG_RUN_MILLIS) {
      trials.set(key, {runId, trial: 'apart'});
    }
  }
  const kept = update.write(KEPT_WORKERS);
  for (const [incarnation, {neededAt}] of [...kept.entries()]) {
    const isUnused = update.now - neededAt > KEEP_UNUSED_MILLIS;
    if (isUnused || !update.read(WORKERS).has(incarnation)) {
      kept.delete(incarnation);
    }
  }
}

/** How long a run had gone on when its worker last answered. */
function survivedFor(run: Run, worker: Worker): number {
  const {startedAt, confirmedAt, isReported} = run;
  const runningSince = startedAt ?? (isReported ? confirmedAt : undefined);
  return runningSince === undefined ? 0 : worker.answeredAt - runningSince;
}

function clearingMillis({estimateMillis}: Step): number {
  return Math.max(MIN_CLEARING_MILLIS, estimateMillis * CLEARING_ESTIMATES);
}

function clearSuspicion(
  update: Update,
  runId: RunId,
  {row, step, task}: ActiveTask,
): void {
  if (task.crashedRuns.length === 0) {
    return;
  }
  update.emit(DISPATCH_EVENT, {
    event: 'task-cleared',
    subject: taskKey(runId),
    queue: row.job.policy.name,
    worker: task.worker,
    detail: `crashed-runs-${task.crashedRuns.map(Math.abs).join('-')}`,
  });
  const progress = updateTasksOfRun(row.progress, step, runId, before => ({
    ...before,
    crashedRuns: [],
  }));
  setProgress(update, row, progress);
}
