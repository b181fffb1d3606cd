import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {HOLDING_ENDED, heldTerm} from '@samphireramp/holding';
import {MAY_COMMAND_WORKERS, RUNS, WORKERS} from './FleetState';
import {
  holdIfDue,
  lapseIfSilent,
  onEndsRecorded,
  onEndsTaken,
  onHeld,
  onHoldFailed,
} from './holdFlow';
import {
  ENDS_DURABLE,
  ENDS_APPLIED,
  FLEET_TICK,
  POLL_FAILED,
  START_ANSWERED,
  START_RUN,
  STOP_ANSWERED,
  WORKER_REGISTRY_READ,
  WORKER_REPORTED,
} from './messages';
import {
  onStartAnswered,
  onStopAnswered,
  orderStart,
  repeatStops,
} from './startFlow';
import {stopStalled} from './stalledRuns';
import {FLEET_LOG_SLOWDOWN} from './workerHealth';
import {onWorkersListed} from './workerList';

/** Keeps the workers' leases, and takes in what they tell. */
export function createFleetPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(MAY_COMMAND_WORKERS),
      kernel.registerSlice(FLEET_LOG_SLOWDOWN),
      kernel.registerSlice(WORKERS),
      kernel.registerSlice(RUNS),
      kernel.registerCommand(WORKER_REGISTRY_READ, onWorkersListed),
      kernel.registerCommand(WORKER_REPORTED, onHeld),
      kernel.registerCommand(POLL_FAILED, onHoldFailed),
      kernel.registerCommand(ENDS_APPLIED, onEndsTaken),
      kernel.registerCommand(ENDS_DURABLE, onEndsRecorded),
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
  update.write(MAY_COMMAND_WORKERS).set(false);
}
