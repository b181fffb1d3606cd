import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {HOLDING_ENDED, heldTerm} from '@samphireramp/holding';
import {MAY_HOLD, RUNS, WORKERS} from './FleetState';
import {
  holdIfDue,
  lapseIfSilent,
  onEndsRecorded,
  onEndsTaken,
  onHeld,
  onHoldFailed,
} from './holdFlow';
import {
  ENDS_RECORDED,
  ENDS_TAKEN,
  FLEET_TICK,
  HOLD_FAILED,
  START_ANSWERED,
  START_RUN,
  STOP_ANSWERED,
  WORKERS_LISTED,
  WORKER_HELD,
} from './messages';
import {
  onStartAnswered,
  onStopAnswered,
  orderStart,
  repeatStops,
} from './startFlow';
import {stopStalled} from './stalledRuns';
import {FLEET_SLOWNESS} from './workerHealth';
import {onWorkersListed} from './workerList';

/** Keeps the workers' leases, and takes in what they tell. */
export function createFleetPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(MAY_HOLD),
      kernel.registerSlice(FLEET_SLOWNESS),
      kernel.registerSlice(WORKERS),
      kernel.registerSlice(RUNS),
      kernel.registerCommand(WORKERS_LISTED, onWorkersListed),
      kernel.registerCommand(WORKER_HELD, onHeld),
      kernel.registerCommand(HOLD_FAILED, onHoldFailed),
      kernel.registerCommand(ENDS_TAKEN, onEndsTaken),
      kernel.registerCommand(ENDS_RECORDED, onEndsRecorded),
      kernel.registerCommand(START_RUN, orderStart),
      kernel.registerCommand(START_ANSWERED, onStartAnswered),
      kernel.registerCommand(STOP_ANSWERED, onStopAnswered),
      kernel.registerCommand(FLEET_TICK, onTick),
      kernel.registerCommand(HOLDING_ENDED, forgetAll),
    );
}

function onTick(update: Update): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  for (const worker of [...update.read(WORKERS).values()]) {
    holdIfDue(update, worker);
    lapseIfSilent(update, worker);
  }
  repeatStops(update);
  stopStalled(update);
}

/** Another holder learns all of this anew from the workers. */
function forgetAll(update: Update): void {
  update.write(WORKERS).clear();
  update.write(RUNS).clear();
  update.write(MAY_HOLD).set(false);
}
