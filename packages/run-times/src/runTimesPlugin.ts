import {HOLDING_BEGAN, HOLDING_ENDED} from '@samphireramp/holding';
import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {
  QUEUE_ERRORS,
  QUEUE_RUN_TIMES,
  SHAPE_RUN_TIMES,
  STEP_RUN_TIMES,
  WORKER_SPEEDS,
} from './runTimeState';
import {SAMPLE_RECORDER} from './SampleWindows';

/** Creates the plug-in that keeps what has been learnt of run times. */
export function createRunTimesPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(SAMPLE_RECORDER),
      kernel.registerSlice(QUEUE_RUN_TIMES),
      kernel.registerSlice(SHAPE_RUN_TIMES),
      kernel.registerSlice(STEP_RUN_TIMES),
      kernel.registerSlice(WORKER_SPEEDS),
      kernel.registerSlice(QUEUE_ERRORS),
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
  update.write(QUEUE_ERRORS).clear();
}
