import {JOBS} from '@samphireramp/dispatch';
import type {Run, RunExpectation} from '@samphireramp/fleet';
import type {Update} from '@samphireramp/kernel';
import {expectedMillis, tailMillis} from './predictRunTime';
import {workerSpeed} from './workerSpeed';

/** Returns what is expected of a run on its worker; undefined for an unknown job. */
export function expectRun(
  update: Update,
  {runId, incarnation}: Run,
): RunExpectation | undefined {
  const job = update.read(JOBS).get(runId.jobId)?.job;
  if (job?.steps[runId.step] === undefined) {
    return undefined;
  }
  // A slow worker has more time, a fast one not less: its speed may be wrong.
  const speed = Math.min(1, workerSpeed(update, incarnation, update.now));
  return {
    expectedMillis: expectedMillis(update, job, runId.step) / speed,
    tailMillis: tailMillis(update, job, runId.step) / speed,
  };
}
