import type {Update} from '@samphireramp/kernel';
import {RUNS, WORKERS} from './FleetState';
import type {Run} from './Run';
import {stopRun} from './runOrders';
import {avoidWorker} from './workerHealth';

/** A run never counts as stalled before this time without progress. */
const MIN_STALL_MILLIS = 2000;
/**
 * A run counts as stalled after this multiple of the time that it has taken for
 * one percent of its work on average, unless MIN_STALL_MILLIS is longer.
 */
const STALL_PERCENT_FACTOR = 6;
/** How long a worker is avoided after a run stalled on it. */
const STALLED_AVOID_MILLIS = 4000;
/** A run that has done this much can't progress, so it is never stalled. */
const COMPLETE_PERCENT = 100;

/** Stops stalled runs, so that their tasks run elsewhere. */
export function stopStalledRuns(update: Update): void {
  for (const run of [...update.read(RUNS).values()]) {
    const worker = update.read(WORKERS).get(run.incarnation);
    // Only an answer shows that a run made no progress, so silence is not a
    // stall.
    const lastAnswerAt = worker?.isSilent === false ? worker.answeredAt : 0;
    if (run.expectsProgress && isStalled(run, lastAnswerAt)) {
      stopRun(update, run, 'stalled');
      avoidWorker(update, run.incarnation, STALLED_AVOID_MILLIS, 'run-stalled');
    }
  }
}

function isStalled(run: Run, lastAnswerAt: number): boolean {
  if (run.phase !== 'running' || run.confirmedAt === undefined) {
    return false;
  }
  const {percentDone: percent, progressedAt, confirmedAt} = run;
  if (percent >= COMPLETE_PERCENT) {
    return false;
  }
  const millisPerPercent =
    percent === 0 ? 0 : (progressedAt - confirmedAt) / percent;
  const stallTimeoutMillis = Math.max(
    MIN_STALL_MILLIS,
    millisPerPercent * STALL_PERCENT_FACTOR,
  );
  return lastAnswerAt - progressedAt > stallTimeoutMillis;
}
