import {HOLDING_BEGAN, HOLDING_ENDED} from '@samphireramp/holding';
import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {USED_SPANS} from './virtualArrivals';

/** Creates the plug-in that keeps the state of client accounts. */
export function createAccountsPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(USED_SPANS),
      kernel.registerCommand(HOLDING_BEGAN, clearUsedSpans),
      kernel.registerCommand(HOLDING_ENDED, clearUsedSpans),
    );
}

/** A holder rebuilds the state from the jobs that it reads. */
function clearUsedSpans(update: Update): void {
  update.write(USED_SPANS).clear();
}
