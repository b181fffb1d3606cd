import {HOLDING_BEGAN, HOLDING_ENDED} from '@samphireramp/holding';
import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {
  QUEUE_RUN_TIMES,
  SHAPE_RUN_TIMES,
  STEP_RUN_TIMES,
  WORKER_SPEEDS,
} from './runTimeState';
import {SAMPLE_RECORDER} from './SampleWindows';
import {FLEET_LOG_SLOWNESS} from './workerSpeed';

/** Creates the plug-in that keeps what has been learnt of run times. */
export function createRunTimesPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(SAMPLE_RECORDER),
      kernel.registerSlice(QUEUE_RUN_TIMES),
      kernel.registerSlice(SHAPE_RUN_TIMES),
      kernel.registerSlice(STEP_RUN_TIMES),
      kernel.registerSlice(WORKER_SPEEDS),
      kernel.registerSlice(FLEET_LOG_SLOWNESS),
      kernel.registerCommand(HOLDING_BEGAN, clearRunTimes),
      kernel.registerCommand(HOLDING_ENDED, clearRunTimes),
    );
}

/** Clears the state; the next holder learns anew. */
function clearRunTimes(update: Update): void {
  update.write(QUEUE_RUN_TIMES).clear();
  update.write(SHAPE_RUN_TIMES).clear();
  update.write(STEP_RUN_TIMES).clear();
  update.write(WORKER_SPEEDS).clear();
  update.write(FLEET_LOG_SLOWNESS).set(0);
}
