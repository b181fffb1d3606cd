/** Workers, their leases, and the runs they tell of. */
export {
  MAY_HOLD,
  RUNS,
  WORKERS,
  adoptRun,
  changeRun,
  reserveRun,
  roomLeft,
  wholeRoom,
} from './FleetState';
export {createFleetPlugin} from './fleetPlugin';
export {CLOCK_DRIFT_BOUND, LEASE_MILLIS, surelyLapsedAt} from './leaseTiming';
export * from './messages';
export type {Run, RunPhase, StartOrder, StartRefusal} from './Run';
export {voidRun} from './workerLives';
export {stopRun} from './startFlow';
export type {ClockReading, EndKind, Worker, WorkerRecord} from './Worker';
export {
  avoidWorker,
  countDuration,
  countFailure,
  countSuccess,
} from './workerHealth';
