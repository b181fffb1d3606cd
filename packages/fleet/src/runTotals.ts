import type {Resources, RunId} from '@samphireramp/jobs';
import type {Run} from './Run';

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
  return {reserved, stoppingRuns, startsUnderWay, unrecordedStarts};
}

/** A repeated order shows that the worker is slow to answer, not this host. */
function isStartUnderWay({phase, startOrders}: Run): boolean {
  return phase === 'reserved' || (phase === 'ordered' && startOrders === 1);
}
