import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {HOLDING_BEGAN, HOLDING_ENDED, heldTerm} from '@samphireramp/holding';
import {MAY_COMMAND_WORKERS, RUNS, WORKERS} from './FleetState';
import {
  pollIfDue,
  onEndsDurable,
  onWorkerReported,
  onPollFailed,
} from './workerPolling';
import {LATEST_LIVES} from './fence';
import {HELD_BACK_ENDS, acknowledgeUnlessHeldBack} from './heldBackEnds';
import {
  BOUNDED_LEASES,
  LEASE_BOUND_LIFTED,
  takeOverBounds,
} from './leaseBounds';
import {
  ENDED_LIVES_LEASES,
  GRANTS_LEASES,
  reportLeaseGranting,
} from './leaseGranting';
import {
  UNLISTED_CHECKED_AT,
  maintainLeaseBounds,
  onLeaseBoundLifted,
} from './lostWorkers';
import {
  ENDS_DURABLE,
  ENDS_APPLIED,
  FLEET_TICK,
  POLL_FAILED,
  START_ANSWERED,
  START_RESERVED_RUN,
  STOP_ANSWERED,
  WORKER_REGISTRY_READ,
  WORKER_REPORTED,
} from './messages';
import type {Run} from './Run';
import {
  onStartAnswered,
  onStopAnswered,
  sendStartOrder,
  resendStopOrders,
} from './runOrders';
import {type RunExpectation, stopStalledRuns} from './stalledRuns';
import {UNSETTLED_ORDERS, forgetSettledOrders} from './unsettledOrders';
import {FLEET_LOG_SLOWDOWN, NEWEST_LOG_SLOWDOWNS} from './workerHealth';
import {onWorkerRegistryRead} from './workerRegistry';
import {discardLostRuns} from './workerRemoval';

/** Options of the fleet plug-in. */
export interface FleetOptions {
  /** Returns what is expected of a run; undefined if nothing is known. */
  readonly expectRun?: (update: Update, run: Run) => RunExpectation | undefined;
}

/**
 * Keeps the state of the workers and their runs, and polls and commands the
 * workers while this host is the holder.
 */
export function createFleetPlugin({
  expectRun = () => undefined,
}: FleetOptions = {}): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(MAY_COMMAND_WORKERS),
      kernel.registerSlice(FLEET_LOG_SLOWDOWN),
      kernel.registerSlice(NEWEST_LOG_SLOWDOWNS),
      kernel.registerSlice(WORKERS),
      kernel.registerSlice(RUNS),
      kernel.registerSlice(HELD_BACK_ENDS),
      kernel.registerSlice(GRANTS_LEASES),
      kernel.registerSlice(ENDED_LIVES_LEASES),
      kernel.registerSlice(UNSETTLED_ORDERS),
      kernel.registerSlice(LATEST_LIVES),
      kernel.registerSlice(BOUNDED_LEASES),
      kernel.registerSlice(UNLISTED_CHECKED_AT),
      kernel.registerCommand(WORKER_REGISTRY_READ, onWorkerRegistryRead),
      kernel.registerCommand(WORKER_REPORTED, onWorkerReported),
      kernel.registerCommand(POLL_FAILED, onPollFailed),
      kernel.registerCommand(ENDS_APPLIED, acknowledgeUnlessHeldBack),
      kernel.registerCommand(ENDS_DURABLE, onEndsDurable),
      kernel.registerCommand(START_RESERVED_RUN, sendStartOrder),
      kernel.registerCommand(START_ANSWERED, onStartAnswered),
      kernel.registerCommand(STOP_ANSWERED, onStopAnswered),
      kernel.registerCommand(FLEET_TICK, update => onTick(update, expectRun)),
      kernel.registerCommand(LEASE_BOUND_LIFTED, onLeaseBoundLifted),
      kernel.registerCommand(HOLDING_BEGAN, takeOverBounds),
      kernel.registerCommand(HOLDING_ENDED, clearFleetState),
    );
}

function onTick(
  update: Update,
  expectRun: NonNullable<FleetOptions['expectRun']>,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  reportLeaseGranting(update);
  for (const worker of [...update.read(WORKERS).values()]) {
    pollIfDue(update, worker);
    discardLostRuns(update, worker.incarnation);
  }
  maintainLeaseBounds(update);
  forgetSettledOrders(update);
  resendStopOrders(update);
  stopStalledRuns(update, expectRun);
}

/** Clears the state at the end of a holding; the next holder rebuilds it. */
function clearFleetState(update: Update): void {
  update.write(WORKERS).clear();
  update.write(RUNS).clear();
  update.write(HELD_BACK_ENDS).clear();
  update.write(UNSETTLED_ORDERS).clear();
  update.write(LATEST_LIVES).clear();
  update.write(ENDED_LIVES_LEASES).clear();
  update.write(BOUNDED_LEASES).clear();
  update.write(NEWEST_LOG_SLOWDOWNS).set([]);
  update.write(FLEET_LOG_SLOWDOWN).set(0);
  update.write(GRANTS_LEASES).set(true);
  update.write(MAY_COMMAND_WORKERS).set(false);
}
