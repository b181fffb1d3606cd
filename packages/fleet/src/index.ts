/** Keeps the state of workers and their runs, and commands the workers. */
export {
  MAY_COMMAND_WORKERS,
  type NewRun,
  RUNS,
  WORKERS,
  adoptRun,
  changeRun,
  reserveRun,
  isOverCapacity,
  totalResources,
} from './FleetState';
export {
  type ExpectedRelease,
  type RunTotals,
  listExpectedReleases,
} from './runTotals';
export {type FleetOptions, createFleetPlugin} from './fleetPlugin';
export {holdBackEnds, releaseEnds} from './heldBackEnds';
export {CLOCK_DRIFT_BOUND, LEASE_MILLIS, leasesExpiredAt} from './leaseTiming';
export * from './messages';
export type {
  RejectedStartReason,
  Run,
  RunPhase,
  StartAnswer,
  StartOrder,
  StartRefusal,
} from './Run';
export type {RunExpectation} from './stalledRuns';
export {discardRun} from './workerRemoval';
export {stopRun} from './runOrders';
export {CRASH_SUSPICION_MILLIS} from './workerCrashes';
export type {ClockReading, RunOutcome, Worker, WorkerRecord} from './Worker';
export {
  avoidWorker,
  countStartableRuns,
  recordDuration,
  recordFailure,
  recordSuccess,
} from './workerHealth';
