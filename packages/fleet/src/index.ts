/** Keeps the state of workers and their runs, and commands the workers. */
export {
  MAY_COMMAND_WORKERS,
  RUNS,
  WORKERS,
  adoptRun,
  changeRun,
  reserveRun,
  freeResources,
  isOverCapacity,
  totalResources,
} from './FleetState';
export {createFleetPlugin} from './fleetPlugin';
export {CLOCK_DRIFT_BOUND, LEASE_MILLIS, leasesExpiredAt} from './leaseTiming';
export * from './messages';
export type {
  RejectedStartReason,
  Run,
  RunPhase,
  StartOrder,
  StartRefusal,
} from './Run';
export {discardRun} from './workerRemoval';
export {stopRun} from './runOrders';
export {countRecentCrashes} from './commonCauses';
export type {ClockReading, RunOutcome, Worker, WorkerRecord} from './Worker';
export {
  avoidWorker,
  recordDuration,
  recordFailure,
  recordSuccess,
} from './workerHealth';
