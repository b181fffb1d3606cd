import {
  MAY_COMMAND_WORKERS,
  type NewRun,
  RUNS,
  adoptRun,
  changeRun,
} from '@samphireramp/fleet';
import {
  type Job,
  NEW_TASK,
  NO_ACCOUNT,
  type Occurrence,
  type Progress,
  type RunId,
  type Task,
  reservedResources,
  runKey,
} from '@samphireramp/jobs';
import type {Update} from '@samphireramp/kernel';

/**
 * Runs of a job that ended longer ago are gone: stopped, or their lease has expired, which
 * takes 11 s at most. The rest allows for clocks that differ.
 */
const MAX_RUN_AFTER_END_MILLIS = 20_000;

/** A placed task, and its run. */
export interface PlacedRun {
  readonly runId: RunId;
  readonly task: Task;
}

/** Lists the placed tasks of a job with their runs. */
export function listPlacedRuns({jobId, occurrences}: Progress): PlacedRun[] {
  const placedRuns: PlacedRun[] = [];
  for (const {number: occurrence, steps} of occurrences) {
    steps.forEach((tasks, step) => {
      tasks.forEach((task, index) => {
        if (task.phase === 'placed') {
          const runId = {jobId, occurrence, step, index, run: task.run};
          placedRuns.push({runId, task});
        }
      });
    });
  }
  return placedRuns;
}

/**
 * Returns what is kept of the occurrences of a job that has ended: its placed tasks,
 * if it has an account. Their runs count against the limit of the account until they
 * are gone, also for the next holder.
 */
export function occurrencesAfterEnd(
  {account}: Job,
  {occurrences}: Progress,
): Occurrence[] {
  if (account === NO_ACCOUNT) {
    return [];
  }
  return occurrences
    .filter(({steps}) => steps.some(tasks => tasks.some(isPlaced)))
    .map(({number, steps}) => ({
      number,
      steps: steps.map(tasks => tasks.map(withPlacementOnly)),
    }));
}

/**
 * Adopts the runs of a job that ended lately under an earlier holder as runs being
 * stopped. Most of them are gone, which the first report of each worker shows; stop orders
 * for the others follow after it, as thousands of jobs may have been cancelled.
 */
export function adoptRunsOfEndedJob(
  update: Update,
  job: Job,
  progress: Progress,
  wallNow: number,
): void {
  if (!hasEndedLately(progress, wallNow)) {
    return;
  }
  // Once workers may be commanded, only a repeated request tells of the job again.
  if (update.read(MAY_COMMAND_WORKERS).get()) {
    return;
  }
  for (const {runId, task} of listPlacedRuns(progress)) {
    if (!update.read(RUNS).has(runKey(runId))) {
      adoptAsStopping(update, {
        runId,
        incarnation: task.worker,
        account: job.account,
        reserved: reservedResources(job.steps[runId.step]),
        expectedMillis: Infinity,
        expectsProgress: false,
      });
    }
  }
}

/** Whether runs of a job that has ended may not be gone yet. */
export function hasEndedLately({endedAt}: Progress, wallNow: number): boolean {
  return wallNow - endedAt <= MAX_RUN_AFTER_END_MILLIS;
}

/** Adopts a run of a job that has ended as one being stopped. */
export function adoptAsStopping(update: Update, run: NewRun): void {
  adoptRun(update, run);
  const change = {phase: 'stopping', lastOrderAt: update.now} as const;
  changeRun(update, runKey(run.runId), change);
}

function isPlaced({phase}: Task): boolean {
  return phase === 'placed';
}

function withPlacementOnly(task: Task): Task {
  const {phase, run, worker} = task;
  return isPlaced(task) ? {...NEW_TASK, phase, run, worker} : NEW_TASK;
}
