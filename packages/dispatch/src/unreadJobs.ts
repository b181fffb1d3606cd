import {DURABLE_PROGRESS} from '@samphireramp/holding';
import {
  type RUN_ENDED,
  RUNS,
  WORKERS,
  adoptRun,
  changeRun,
  holdBackEnds,
  releaseEnds,
  stopRun,
} from '@samphireramp/fleet';
import {
  type Job,
  type Progress,
  type Resources,
  type RunId,
  isFinalState,
  runKey,
} from '@samphireramp/jobs';
import {
  type PayloadOf,
  type StateReader,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {JOBS} from './DispatchState';
import {adoptAsStopping, hasEndedLately, listPlacedRuns} from './endedRuns';

/**
 * Jobs that the journal has and whose requests are in a partition that is out of reach:
 * a new holder keeps their runs, and places none of their tasks.
 */

/** Whether workers are commanded although some partition of requests is not read. */
export const ARE_REQUESTS_INCOMPLETE = createValueSlice(
  'requests-incomplete',
  false,
);

/** Reported ends of runs of unread jobs, which apply once these are read. */
export const UNAPPLIED_ENDS =
  createTableSlice<PayloadOf<typeof RUN_ENDED>>('unapplied-ends');

/** Key of a kept end: two lives of workers may each report one of the same run. */
function keptEndKey({
  incarnation,
  runId,
}: Pick<PayloadOf<typeof RUN_ENDED>, 'incarnation' | 'runId'>): string {
  return `${incarnation} ${runKey(runId)}`;
}

/** Need of a run on a worker that is not listed: more than any account may use. */
const UNKNOWN_NEED: Resources = {
  cpuMillis: Number.MAX_SAFE_INTEGER,
  memoryMegabytes: Number.MAX_SAFE_INTEGER,
  accelerators: Number.MAX_SAFE_INTEGER,
};

/** Returns the progress of a job that is not over and whose request is not read. */
export function findUnreadProgress(
  state: StateReader,
  jobId: string,
): Progress | undefined {
  if (
    !state.read(ARE_REQUESTS_INCOMPLETE).get() ||
    state.read(JOBS).has(jobId)
  ) {
    return undefined;
  }
  const progress = state.read(DURABLE_PROGRESS).get(jobId);
  return progress && !isFinalState(progress.state) ? progress : undefined;
}

/** Adopts the runs of jobs whose requests are not read, by the journal alone. */
export function adoptRunsOfUnreadJobs(update: Update, wallNow: number): void {
  for (const progress of update.read(DURABLE_PROGRESS).values()) {
    const isEnded = isFinalState(progress.state);
    if (
      update.read(JOBS).has(progress.jobId) ||
      (isEnded && !hasEndedLately(progress, wallNow))
    ) {
      continue;
    }
    for (const {runId, task} of listPlacedRuns(progress)) {
      if (!update.read(RUNS).has(runKey(runId))) {
        const run = {
          runId,
          incarnation: task.worker,
          account: progress.account,
          reserved: wholeWorker(update, task.worker),
          expectedMillis: Infinity,
          expectsProgress: false,
        };
        (isEnded ? adoptAsStopping : adoptRun)(update, run);
      }
    }
  }
}

/**
 * Reserves for each run of an unread job all of its worker, which may have been listed
 * since: the need of the run is in the request, so that nothing may start beside it.
 */
export function reserveForUnreadJobs(update: Update): void {
  if (!update.read(ARE_REQUESTS_INCOMPLETE).get()) {
    return;
  }
  for (const [key, run] of [...update.read(RUNS).entries()]) {
    const reserved = wholeWorker(update, run.incarnation);
    const isUnread = findUnreadProgress(update, run.runId.jobId) !== undefined;
    if (isUnread && run.reserved !== reserved) {
      changeRun(update, key, {reserved});
    }
  }
}

function wholeWorker(state: StateReader, incarnation: string): Resources {
  return state.read(WORKERS).get(incarnation)?.capacity ?? UNKNOWN_NEED;
}

/**
 * Keeps the end of a run of an unread job. What follows from it is told by the request,
 * so that it is not acknowledged: the worker would report it to the next holder, too.
 */
export function keepEnd(
  update: Update,
  end: PayloadOf<typeof RUN_ENDED>,
): void {
  update.write(UNAPPLIED_ENDS).set(keptEndKey(end), end);
  holdBackEnds(update, end.incarnation);
}

/** Whether the end of a run on a worker is kept. */
export function isEndKept(
  state: StateReader,
  incarnation: string,
  runId: RunId,
): boolean {
  return state.read(UNAPPLIED_ENDS).has(keptEndKey({incarnation, runId}));
}

/**
 * Passes the kept ends of jobs that are read by now to `apply`, and has them
 * acknowledged once no end of their worker is kept any more.
 */
export function applyKeptEnds(
  update: Update,
  apply: (end: PayloadOf<typeof RUN_ENDED>) => void,
): void {
  const kept = update.write(UNAPPLIED_ENDS);
  if (kept.size === 0) {
    return;
  }
  const applied = new Set<string>();
  for (const [key, end] of [...kept.entries()]) {
    if (findUnreadProgress(update, end.runId.jobId) === undefined) {
      kept.delete(key);
      applied.add(end.incarnation);
      apply(end);
    }
  }
  const awaited = new Set([...kept.values()].map(each => each.incarnation));
  for (const incarnation of applied) {
    if (!awaited.has(incarnation)) {
      releaseEnds(update, incarnation);
    }
  }
}

/** Stops the runs of jobs whose requests are in none of the partitions. */
export function stopRunsWithoutJob(update: Update): void {
  for (const run of [...update.read(RUNS).values()]) {
    if (run.phase !== 'stopping' && !update.read(JOBS).has(run.runId.jobId)) {
      stopRun(update, run, 'unneeded');
    }
  }
}

/**
 * Whether progress in the journal may be that of a request. It is not that of one of
 * another account or with other tasks, handed in under the same id while the first request
 * was not read.
 */
export function mayBeRequestOf(job: Job, progress: Progress): boolean {
  return (
    (progress.account === '' || progress.account === job.account) &&
    progress.occurrences.every(
      ({steps}) =>
        steps.length === job.steps.length &&
        steps.every((tasks, step) => tasks.length === job.steps[step].count),
    )
  );
}
