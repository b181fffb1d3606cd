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
/**
 * A run without any progress counts as stalled after this multiple of the time that is
 * expected for one percent; a few runs take 7 times as long as others.
 */
const FIRST_PERCENT_FACTOR = 10;
/**
 * A run that has done all of its work counts as stalled if it lasts this many times as
 * long as the work took, and longer than the tail of the durations.
 */
const COMPLETE_FACTOR = 1.5;
/** How long a worker is avoided after a run stalled on it. */
const STALLED_AVOID_MILLIS = 4000;
/** A run that has done this much can't progress. */
const COMPLETE_PERCENT = 100;

/** What is expected of a run on its worker. */
export interface RunExpectation {
  readonly expectedMillis: number;
  /** A run lasts longer only if something is wrong; infinite if that isn't known. */
  readonly tailMillis: number;
}

/** Stops stalled runs, so that their tasks run elsewhere. */
export function stopStalledRuns(
  update: Update,
  expectRun: (update: Update, run: Run) => RunExpectation | undefined,
): void {
  for (const run of [...update.read(RUNS).values()]) {
    const worker = update.read(WORKERS).get(run.incarnation);
    // Only an answer shows that a run made no progress, so silence is not a
    // stall.
    const lastAnswerAt = worker?.isSilent === false ? worker.answeredAt : 0;
    if (
      run.expectsProgress &&
      isStalled(run, lastAnswerAt, () => expectRun(update, run))
    ) {
      stopRun(update, run, 'stalled');
      avoidWorker(update, run.incarnation, STALLED_AVOID_MILLIS, 'run-stalled');
    }
  }
}

function isStalled(
  run: Run,
  lastAnswerAt: number,
  expect: () => RunExpectation | undefined,
): boolean {
  if (run.phase !== 'running' || run.confirmedAt === undefined) {
    return false;
  }
  const {percentDone: percent, progressedAt, confirmedAt} = run;
  const idleMillis = lastAnswerAt - progressedAt;
  // First, as what is expected need not be known for most runs.
  if (idleMillis <= MIN_STALL_MILLIS) {
    return false;
  }
  if (percent >= COMPLETE_PERCENT) {
    const ranMillis = lastAnswerAt - confirmedAt;
    const workMillis = progressedAt - confirmedAt;
    return (
      workMillis > 0 &&
      ranMillis > workMillis * COMPLETE_FACTOR &&
      ranMillis > (expect()?.tailMillis ?? Infinity)
    );
  }
  if (percent === 0) {
    const percentMillis = (expect()?.expectedMillis ?? 0) / COMPLETE_PERCENT;
    return idleMillis > percentMillis * FIRST_PERCENT_FACTOR;
  }
  const millisPerPercent = (progressedAt - confirmedAt) / percent;
  return idleMillis > millisPerPercent * STALL_PERCENT_FACTOR;
}
