import type {PlacementFunctions} from '@samphireramp/dispatch';
import {learnRunTime} from './learnRunTime';
import {expectedMillis} from './predictRunTime';
import {workerSpeed} from './workerSpeed';

/** Returns the functions of placement that learn; none if learning is off. */
export function createRunTimeFunctions(
  isLearning: boolean,
): Partial<PlacementFunctions> {
  if (!isLearning) {
    return {};
  }
  return {
    expectedMillis,
    onRunFinished: learnRunTime,
    speedOf: (update, worker) => workerSpeed(update, worker, update.now),
  };
}
