import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {
  CRASH_SUSPICION_MILLIS,
  RUNS,
  type Run,
  WORKERS,
  type Worker,
} from '@samphireramp/fleet';
import {
  type RunId,
  runKey,
  stepKey,
  taskKey,
  updateTask,
} from '@samphireramp/jobs';
import {findActiveTask} from './activeTask';
import {setProgress} from './DispatchState';
import {DISPATCH_EVENT} from './messages';

/** Share of the workers that suspected tasks may occupy until they are cleared. */
const MAX_TRIAL_SHARE = 0.25;

/** Runs of tasks that are suspected to crash workers, by run key. */
export const CRASH_TRIALS = createTableSlice<RunId>('crash-trials');

/** Records that a run of a suspected task is placed. */
export function beginTrial(update: Update, runId: RunId): void {
  update.write(CRASH_TRIALS).set(runKey(runId), runId);
}

/** Lists the workers on which a suspected task has just begun or will begin. */
export function workersOnTrial(state: StateReader, now: number): Set<string> {
  const incarnations = new Set<string>();
  for (const key of state.read(CRASH_TRIALS).keys()) {
    const run = state.read(RUNS).get(key);
    if (run !== undefined && isYoung(run, now)) {
      incarnations.add(run.incarnation);
    }
  }
  return incarnations;
}

/** Whether a run would be suspected if its worker crashed now. */
export function isYoung({phase, startedAt}: Run, now: number): boolean {
  return startedAt === undefined
    ? phase === 'reserved' || phase === 'ordered'
    : now - startedAt <= CRASH_SUSPICION_MILLIS;
}

/**
 * Returns on how many further workers suspected tasks may start. A worker that one
 * of them may have crashed counts until its runs are discarded.
 */
export function countFreeTrials(state: StateReader): number {
  const occupied = new Set<string>();
  for (const key of state.read(CRASH_TRIALS).keys()) {
    const run = state.read(RUNS).get(key);
    if (run !== undefined) {
      occupied.add(run.incarnation);
    }
  }
  const limit = Math.floor(state.read(WORKERS).size * MAX_TRIAL_SHARE);
  return Math.max(1, limit) - occupied.size;
}

/**
 * Forgets runs that have ended, and clears tasks whose workers have survived; a gang
 * only once those of all its members have.
 */
export function endTrials(update: Update): void {
  const trials = update.write(CRASH_TRIALS);
  const survivors: RunId[] = [];
  const survivorsOfGang = new Map<string, number>();
  for (const [key, runId] of [...trials.entries()]) {
    const run = update.read(RUNS).get(key);
    const worker = run && update.read(WORKERS).get(run.incarnation);
    if (run === undefined || worker === undefined) {
      trials.delete(key);
    } else if (hasSurvived(run, worker)) {
      survivors.push(runId);
      const gang = gangRunKey(runId);
      survivorsOfGang.set(gang, (survivorsOfGang.get(gang) ?? 0) + 1);
    }
  }
  for (const runId of survivors) {
    const step = findActiveTask(update, runId)?.step;
    const isUndecided =
      step?.isGang && survivorsOfGang.get(gangRunKey(runId)) !== step.count;
    if (!isUndecided) {
      trials.delete(runKey(runId));
      clearSuspicion(update, runId);
    }
  }
}

/** Key that the members of one run of a gang share. */
function gangRunKey(runId: RunId): string {
  return `${stepKey(runId)}#${runId.run}`;
}

/** Whether a worker has answered at a time by which the run would have crashed it. */
function hasSurvived(run: Run, worker: Worker): boolean {
  const {startedAt, confirmedAt, isReported} = run;
  const runningSince = startedAt ?? (isReported ? confirmedAt : undefined);
  return (
    runningSince !== undefined &&
    worker.answeredAt - runningSince > CRASH_SUSPICION_MILLIS
  );
}

function clearSuspicion(update: Update, runId: RunId): void {
  const active = findActiveTask(update, runId);
  if (active === undefined || active.task.crashedRuns.length === 0) {
    return;
  }
  const {row, task} = active;
  update.emit(DISPATCH_EVENT, {
    event: 'task-cleared',
    subject: taskKey(runId),
    queue: row.job.policy.name,
    worker: task.worker,
    detail: `crashed-runs-${task.crashedRuns.join('-')}`,
  });
  const progress = updateTask(row.progress, runId, before => ({
    ...before,
    crashedRuns: [],
  }));
  setProgress(update, row, progress);
}
