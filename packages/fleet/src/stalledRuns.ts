import type {Update} from '@samphireramp/kernel';
import {RUNS, WORKERS} from './FleetState';
import type {Run} from './Run';
import {stopRun} from './startFlow';
import {avoidWorker} from './workerHealth';

/** A run that has not got on for this long may stand still ... */
const STALL_MILLIS = 2000;
/** ... and for as many times its own time for one percent. */
const STALL_PERCENT_TIMES = 6;
/** How long a worker on which a run stood still is avoided. */
const STALLED_AVOID_MILLIS = 4000;
const WHOLE_PERCENT = 100;

/** Stops runs that stand still, so that their tasks run elsewhere. */
export function stopStalled(update: Update): void {
  for (const run of [...update.read(RUNS).values()]) {
    const worker = update.read(WORKERS).get(run.incarnation);
    // A worker that has not told anything since tells nothing about its runs.
    const heardAt = worker?.isSilent === false ? worker.answeredAt : 0;
    if (run.expectsProgress && isStalled(run, heardAt)) {
      stopRun(update, run, 'stalled');
      avoidWorker(update, run.incarnation, STALLED_AVOID_MILLIS, 'run-stalled');
    }
  }
}

function isStalled(run: Run, heardAt: number): boolean {
  if (run.phase !== 'running' || run.confirmedAt === undefined) {
    return false;
  }
  const {percent, progressedAt, confirmedAt: startedAt} = run;
  if (percent >= WHOLE_PERCENT) {
    return false;
  }
  const millisForOne = percent === 0 ? 0 : (progressedAt - startedAt) / percent;
  const patience = Math.max(STALL_MILLIS, millisForOne * STALL_PERCENT_TIMES);
  return heardAt - progressedAt > patience;
}
