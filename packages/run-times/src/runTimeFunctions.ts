import type {PlacementFunctions} from '@samphireramp/dispatch';
import type {FleetOptions} from '@samphireramp/fleet';
import {expectRun} from './expectRun';
import {learnRunTime} from './learnRunTime';
import {expectedMillis} from './predictRunTime';
import {workerSpeed} from './workerSpeed';

/** Returns the functions that learn and use what is learnt; none if learning is off. */
export function createRunTimeFunctions(
  isLearning: boolean,
): Partial<PlacementFunctions> & FleetOptions {
  if (!isLearning) {
    return {};
  }
  return {
    expectRun,
    expectedMillis,
    onRunFinished: learnRunTime,
    speedOf: (update, worker) => workerSpeed(update, worker, update.now),
  };
}
