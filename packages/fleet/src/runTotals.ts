import type {Resources, RunId} from '@samphireramp/jobs';
import type {Run} from './Run';

/** A run that should have ended is expected to last for this much longer at least. */
const MIN_OVERDUE_MILLIS = 100;
/** By when a run that was told to stop is expected to be gone. */
const STOP_MILLIS = 1000;
/** A run that has done this much is about to end. */
const COMPLETE_PERCENT = 100;

/** When a run is expected to release its resources. */
export interface ExpectedRelease {
  /** Time of the runtime's monotonic clock, in the future. */
  readonly at: number;
  readonly resources: Resources;
}

/** What the runs on one worker amount to. */
export interface RunTotals {
  /** Resources that all of them reserve. */
  readonly reserved: Resources;
  /** Those that are being stopped. */
  readonly stoppingRuns: readonly RunId[];
  /** Number of starts that are placed and not confirmed. */
  readonly startsUnderWay: number;
  /** Number of those whose placement the journal has not recorded yet. */
  readonly unrecordedStarts: number;
  /** Lists what they are expected to release, on demand: they change often. */
  listReleases(now: number): readonly ExpectedRelease[];
}

/** Totals the runs on one worker. */
export function totalRuns(runs: readonly Run[]): RunTotals {
  let cpuMillis = 0;
  let memoryMegabytes = 0;
  let accelerators = 0;
  let startsUnderWay = 0;
  let unrecordedStarts = 0;
  const stoppingRuns: RunId[] = [];
  for (const run of runs) {
    const {reserved, phase, runId} = run;
    cpuMillis += reserved.cpuMillis;
    memoryMegabytes += reserved.memoryMegabytes;
    accelerators += reserved.accelerators;
    startsUnderWay += isStartUnderWay(run) ? 1 : 0;
    unrecordedStarts += phase === 'reserved' ? 1 : 0;
    if (phase === 'stopping') {
      stoppingRuns.push(runId);
    }
  }
  const reserved = {cpuMillis, memoryMegabytes, accelerators};
  return {
    reserved,
    stoppingRuns,
    startsUnderWay,
    unrecordedStarts,
    listReleases: now => listExpectedReleases(runs, now),
  };
}

/** Lists what runs are expected to release, the first one first. */
export function listExpectedReleases(
  runs: readonly Run[],
  now: number,
): ExpectedRelease[] {
  return runs
    .map(run => ({
      at: postponeOverdue(expectedEndOf(run), now),
      resources: run.reserved,
    }))
    .filter(({at}) => Number.isFinite(at))
    .sort((a, b) => a.at - b.at);
}

/** When a run is expected to end, which may have passed; not finite if nothing is known. */
function expectedEndOf(run: Run): number {
  const {startedAt, confirmedAt, lastOrderAt, percentDone, progressedAt} = run;
  if (run.phase === 'stopping') {
    return lastOrderAt + STOP_MILLIS;
  }
  const shareLeft = 1 - percentDone / COMPLETE_PERCENT;
  return percentDone > 0
    ? progressedAt + run.expectedMillis * shareLeft
    : (startedAt ?? confirmedAt ?? lastOrderAt) + run.expectedMillis;
}

/** A repeated order shows that the worker is slow to answer, not this host. */
function isStartUnderWay({phase, startOrders}: Run): boolean {
  return phase === 'reserved' || (phase === 'ordered' && startOrders === 1);
}

/** When a run is still expected to end: one that is overdue may well take as long again. */
function postponeOverdue(expectedAt: number, now: number): number {
  return expectedAt > now
    ? expectedAt
    : now + Math.max(MIN_OVERDUE_MILLIS, now - expectedAt);
}
