import type {PayloadOf, Update} from '@samphireramp/kernel';
import type {CrashSuspectRun, WORKER_CRASHED} from '@samphireramp/fleet';
import {
  type RunId,
  findTask,
  runKey,
  stepKey,
  taskKey,
  updateTasksOfRun,
} from '@samphireramp/jobs';
import {findActiveTask} from './activeTask';
import {CRASH_TRIALS} from './crashTrials';
import {
  type CrashedRun,
  isCharged,
  isGivenUp,
  withCrash,
} from './crashSuspects';
import {setProgress} from './DispatchState';
import {endJob} from './jobFlow';
import {DISPATCH_EVENT} from './messages';

/**
 * Charges the crash of a worker to all tasks that it ran: little to each, as any may
 * have caused it. It is evidence against a task only if that was tried alone there.
 */
export function onWorkerCrashed(
  update: Update,
  {incarnation, suspects, isCausedByTask}: PayloadOf<typeof WORKER_CRASHED>,
  wallClock: () => number,
): void {
  const byKey = groupByCause(update, suspects);
  for (const group of byKey.values()) {
    const {runId, hasBegun, ageMillis} = strongestOf(group);
    const isTried = update.read(CRASH_TRIALS).has(runKey(runId));
    const crashedRun = {
      run: runId.run,
      hasBegun,
      ageMillis,
      isTriedAlone: isTried && byKey.size === 1,
      hasOtherCause: !isCausedByTask,
    };
    chargeRun(update, runId, crashedRun, incarnation, wallClock());
  }
}

/** Groups the suspects by what may have crashed the worker: a task, or a gang. */
function groupByCause(
  update: Update,
  suspects: readonly CrashSuspectRun[],
): Map<string, CrashSuspectRun[]> {
  const byKey = new Map<string, CrashSuspectRun[]>();
  for (const suspect of suspects) {
    const {runId} = suspect;
    const isGang = findActiveTask(update, runId)?.step.isGang ?? false;
    const key = isGang ? stepKey(runId) : taskKey(runId);
    byKey.set(key, [...(byKey.get(key) ?? []), suspect]);
  }
  return byKey;
}

/** Chooses the run of a group that has begun last for sure. */
function strongestOf(group: readonly CrashSuspectRun[]): CrashSuspectRun {
  const [strongest] = [...group].sort(
    (a, b) =>
      Number(b.hasBegun) - Number(a.hasBegun) ||
      (a.ageMillis ?? Infinity) - (b.ageMillis ?? Infinity) ||
      0,
  );
  return strongest;
}

function chargeRun(
  update: Update,
  runId: RunId,
  crashedRun: CrashedRun,
  worker: string,
  wallNow: number,
): void {
  // The charge of another suspect may have ended the job.
  const active = findActiveTask(update, runId);
  if (active === undefined || active.task.phase === 'done') {
    return;
  }
  const {row, step} = active;
  // The tasks of a gang share one run, which may have ended on several workers.
  if (step.isGang && isCharged(active.task, runId.run)) {
    return;
  }
  const progress = updateTasksOfRun(row.progress, step, runId, task =>
    withCrash(task, crashedRun),
  );
  const task = findTask(progress, runId) ?? active.task;
  if (task.crashedRuns.length === 0) {
    return;
  }
  const isOver = isGivenUp(task);
  update.emit(DISPATCH_EVENT, {
    event: isOver ? 'task-given-up' : 'task-suspected',
    subject: taskKey(runId),
    queue: row.job.policy.name,
    worker,
    detail:
      `crashed-runs-${task.crashedRuns.map(Math.abs).join('-')}` +
      `, ${crashedRun.isTriedAlone ? 'alone' : 'beside others'}`,
  });
  if (isOver) {
    endJob(update, row, progress, 'failed', wallNow);
  } else {
    setProgress(update, row, progress);
  }
}
