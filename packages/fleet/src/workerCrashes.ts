import type {Update} from '@samphireramp/kernel';
import {runKey, stepKey} from '@samphireramp/jobs';
import {isCommonCause, isFlapping, recordCrash} from './commonCauses';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {type CrashSuspectRun, FLEET_EVENT, WORKER_CRASHED} from './messages';
import type {Run} from './Run';
import type {Worker} from './Worker';

/** Maximum runs that the log line of a crash names. */
const MAX_NAMED_RUNS = 8;

/**
 * Lists the runs that may have crashed their worker: all that had begun there, or
 * may have because of an order without an answer, the youngest first.
 */
export function listCrashSuspects(
  worker: Worker,
  runs: readonly Run[],
): CrashSuspectRun[] {
  const endedAt = crashedAt(worker, runs);
  return runs
    .filter(({phase}) => phase !== 'reserved')
    .map(({runId, startedAt, isReported}) => ({
      runId,
      hasBegun: startedAt !== undefined || isReported,
      ageMillis:
        startedAt === undefined ? undefined : Math.max(0, endedAt - startedAt),
    }))
    .sort((a, b) => (a.ageMillis ?? 0) - (b.ageMillis ?? 0));
}

/**
 * When a worker crashed: the connection of an open poll breaks with its process.
 * Without a failed poll, the last time that it answered or confirmed a start.
 */
function crashedAt(worker: Worker, runs: readonly Run[]): number {
  return (
    worker.silentSince ??
    Math.max(
      worker.answeredAt,
      ...runs.map(({startedAt}) => startedAt ?? -Infinity),
    )
  );
}

/**
 * Reports that the process of a worker has crashed, and which runs may have caused
 * it. Must be called before its runs are discarded. A worker whose next incarnation
 * answers although no poll has failed was restarted in no time: a crash breaks the
 * connection of the open poll, and keeps the worker away for seconds.
 */
export function reportCrash(
  update: Update,
  incarnation: string,
  reason: string,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || worker.isCrashReported) {
    return;
  }
  const isPlanned = worker.isDraining || worker.hasLeft;
  const runs = update.read(RUNS).withKey(incarnation);
  const wasOnlyNamed = !worker.hasReported && runs.length === 0;
  if (isPlanned || wasOnlyNamed || worker.silentSince === undefined) {
    return;
  }
  changeWorker(update, incarnation, {isCrashReported: true});
  const suspects = listCrashSuspects(worker, runs);
  const isOfRack = isCommonCause(update, worker);
  const isOfWorker = isFlapping(update, worker.id);
  recordCrash(update, worker, new Set(runs.map(({runId}) => stepKey(runId))));
  update.emit(FLEET_EVENT, {
    event: 'worker-crashed',
    worker: incarnation,
    subject: suspects.slice(0, MAX_NAMED_RUNS).map(describeAge).join(','),
    detail:
      `${reason}, ${runs.length} runs, ${suspects.length} may have begun` +
      (isOfRack ? ', with its rack' : '') +
      (isOfWorker ? ', again and again' : ''),
    millis: Math.round(update.now - worker.answeredAt),
  });
  update.dispatch(WORKER_CRASHED, {
    incarnation,
    suspects,
    isCausedByTask: !isOfRack && !isOfWorker,
  });
}

function describeAge({runId, ageMillis}: CrashSuspectRun): string {
  const age = ageMillis === undefined ? 'unknown' : Math.round(ageMillis);
  return `${runKey(runId)}/${age}`;
}
