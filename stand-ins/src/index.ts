/** Stand-ins for what the platform gives, for tests and the demo. */
export {LogModel, NO_FAULTS, type LogFaults} from './LogModel';
export {startHostList, type HostListOptions} from './startHostList';
export {startLog, type LogOptions} from './startLog';
export {runFromInput, startWorker, type WorkerOptions} from './startWorker';
export {
  WorkerModel,
  type TaskRun,
  type WorkerModelOptions,
} from './WorkerModel';
