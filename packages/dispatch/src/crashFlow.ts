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
import {isCharged, isGivenUp, withCrash} from './crashSuspects';
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
  if (!isCausedByTask) {
    return;
  }
  const keys = new Set(suspects.map(({runId}) => suspectKey(update, runId)));
  for (const suspect of suspects) {
    const isTried = update.read(CRASH_TRIALS).has(runKey(suspect.runId));
    const isTriedAlone = isTried && keys.size === 1;
    chargeRun(update, suspect, incarnation, isTriedAlone, wallClock());
  }
}

/** Identifies what may have crashed a worker: a task, or a gang as a whole. */
function suspectKey(update: Update, runId: RunId): string {
  const isGang = findActiveTask(update, runId)?.step.isGang ?? false;
  return isGang ? stepKey(runId) : taskKey(runId);
}

function chargeRun(
  update: Update,
  {runId, ageMillis}: CrashSuspectRun,
  worker: string,
  isTriedAlone: boolean,
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
  const crashedRun = {run: runId.run, ageMillis, isTriedAlone};
  const progress = updateTasksOfRun(row.progress, step, runId, task =>
    withCrash(task, crashedRun),
  );
  const task = findTask(progress, runId) ?? active.task;
  const isOver = isGivenUp(task);
  update.emit(DISPATCH_EVENT, {
    event: isOver ? 'task-given-up' : 'task-suspected',
    subject: taskKey(runId),
    queue: row.job.policy.name,
    worker,
    detail:
      `crashed-runs-${task.crashedRuns.map(Math.abs).join('-')}` +
      `, ${isTriedAlone ? 'alone' : 'beside others'}`,
  });
  if (isOver) {
    endJob(update, row, progress, 'failed', wallNow);
  } else {
    setProgress(update, row, progress);
  }
}
