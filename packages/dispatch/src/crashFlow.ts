import type {PayloadOf, Update} from '@samphireramp/kernel';
import type {WORKER_CRASHED} from '@samphireramp/fleet';
import {
  type RunId,
  findTask,
  stepKey,
  taskKey,
  updateTask,
} from '@samphireramp/jobs';
import {type ActiveTask, findActiveTask} from './activeTask';
import {
  type CrashSuspect,
  chooseCharged,
  isGivenUp,
  isOnlySuspect,
  withCrash,
} from './crashSuspects';
import {setProgress} from './DispatchState';
import {endJob} from './jobFlow';
import {DISPATCH_EVENT} from './messages';

/** A suspect of a crash, with its run and job. */
interface SuspectRun extends CrashSuspect, ActiveTask {
  readonly runId: RunId;
}

/** Charges the crash of a worker to the tasks that may have caused it. */
export function onWorkerCrashed(
  update: Update,
  {incarnation, suspects, unanswered}: PayloadOf<typeof WORKER_CRASHED>,
  wallClock: () => number,
): void {
  const known = suspects.flatMap(runId => findSuspect(update, runId));
  const hasOthers = known.length < suspects.length || unanswered > 0;
  const isAlone = isOnlySuspect(known, hasOthers);
  for (const {runId} of chooseCharged(known)) {
    chargeRun(update, runId, incarnation, isAlone, wallClock());
  }
}

function findSuspect(update: Update, runId: RunId): SuspectRun[] {
  const active = findActiveTask(update, runId);
  if (active === undefined || active.task.phase === 'done') {
    return [];
  }
  const key = active.step.isGang ? stepKey(runId) : taskKey(runId);
  return [{...active, key, runId}];
}

function chargeRun(
  update: Update,
  runId: RunId,
  worker: string,
  isAlone: boolean,
  wallNow: number,
): void {
  // The charge of another suspect may have ended the job.
  const active = findActiveTask(update, runId);
  if (active === undefined || active.task.crashedRuns.includes(runId.run)) {
    return;
  }
  const {row, step} = active;
  // Not to the others of its gang, on whose workers it didn't run.
  const progress = updateTask(row.progress, runId, task =>
    withCrash(task, runId.run),
  );
  const task = findTask(progress, runId) ?? active.task;
  const isOver = isGivenUp(task, isAlone && !step.isService);
  update.emit(DISPATCH_EVENT, {
    event: isOver ? 'task-given-up' : 'task-suspected',
    subject: taskKey(runId),
    queue: row.job.policy.name,
    worker,
    detail:
      `crashed-runs-${task.crashedRuns.join('-')}` +
      `, ${isAlone ? 'alone' : 'beside others'}`,
  });
  if (isOver) {
    endJob(update, row, progress, 'failed', wallNow);
  } else {
    setProgress(update, row, progress);
  }
}
