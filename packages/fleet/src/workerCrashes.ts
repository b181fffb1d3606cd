import type {Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {FLEET_EVENT, WORKER_CRASHED} from './messages';
import type {Run} from './Run';
import type {Worker, WorkerCrash} from './Worker';

/**
 * A run that began this long before the last sign of life of its worker did not
 * crash it.
 */
export const CRASH_SUSPICION_MILLIS = 250;
/** Maximum runs that the log line of a crash names. */
const MAX_NAMED_RUNS = 8;
const NO_RUNS: ReadonlySet<string> = new Set();

/** The runs of a worker that may have crashed it. */
export interface CrashSuspects {
  /** Runs that are known to have begun shortly before. */
  readonly started: readonly Run[];
  /** Runs that were ordered shortly before, and may have begun. */
  readonly unanswered: readonly Run[];
}

/** Finds the runs that may have crashed their worker: those that began last. */
export function findCrashSuspects(
  worker: Worker,
  runs: readonly Run[],
): CrashSuspects {
  const since = lastSignOfLife(worker, runs) - CRASH_SUSPICION_MILLIS;
  return {
    started: runs.filter(({startedAt}) => (startedAt ?? -Infinity) > since),
    unanswered: runs.filter(
      ({startedAt, startOrders, lastOrderAt}) =>
        startedAt === undefined && startOrders > 0 && lastOrderAt > since,
    ),
  };
}

function withoutRuns(
  crash: WorkerCrash,
  keys: ReadonlySet<string>,
): WorkerCrash {
  const runs = crash.runs.filter(({runId}) => !keys.has(runKey(runId)));
  return {...crash, runs};
}

/** When a worker last answered a poll or confirmed the start of a run. */
function lastSignOfLife(worker: Worker, runs: readonly Run[]): number {
  return Math.max(
    worker.answeredAt,
    ...runs.map(({startedAt}) => startedAt ?? -Infinity),
  );
}

/**
 * Notes that the process of a worker has crashed, with the runs that may have caused
 * it. Must be called before its runs are discarded. Runs that the next life is known to
 * have (`nextLifeRuns`, by run key) began there.
 */
export function noteCrash(
  update: Update,
  incarnation: string,
  reason: string,
  nextLifeRuns: ReadonlySet<string> = NO_RUNS,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker?.crash !== undefined || worker?.isCrashReported !== false) {
    return;
  }
  const isPlanned = worker.isDraining || worker.hasLeft;
  const runs = update.read(RUNS).withKey(incarnation);
  const wasOnlyNamed = !worker.hasReported && runs.length === 0;
  if (isPlanned || wasOnlyNamed) {
    return;
  }
  const crash = {reason, noticedAt: update.now, runs};
  changeWorker(update, incarnation, {
    crash: withoutRuns(crash, nextLifeRuns),
  });
}

/**
 * Reports a noted crash and the runs that may have caused it. As an answer to an order
 * doesn't say which life took it, this waits for the first report of the next life,
 * which lists the runs that it has (`nextLifeRuns`, by run key), if one comes.
 */
export function reportCrash(
  update: Update,
  incarnation: string,
  nextLifeRuns: ReadonlySet<string> = NO_RUNS,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker?.crash === undefined) {
    return;
  }
  changeWorker(update, incarnation, {crash: undefined, isCrashReported: true});
  const {reason, noticedAt, runs} = withoutRuns(worker.crash, nextLifeRuns);
  const {started, unanswered} = findCrashSuspects(worker, runs);
  const aliveAt = lastSignOfLife(worker, runs);
  update.emit(FLEET_EVENT, {
    event: 'worker-crashed',
    worker: incarnation,
    subject: started.slice(0, MAX_NAMED_RUNS).map(describeAge).join(','),
    detail:
      `${reason}, ${runs.length} runs, ${started.length} began last` +
      `, ${unanswered.length} may have begun`,
    millis: Math.round(noticedAt - worker.answeredAt),
  });
  update.dispatch(WORKER_CRASHED, {
    incarnation,
    suspects: started.map(({runId}) => runId),
    unanswered: unanswered.length,
  });

  function describeAge({runId, startedAt = 0}: Run): string {
    const ageMillis = aliveAt - startedAt;
    return `${runKey(runId)}/${Math.round(ageMillis)}`;
  }
}
