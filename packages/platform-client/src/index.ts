/** The platform's log, host list and workers, over HTTP. */
export {
  createConfigurationClientPlugin,
  type ConfigurationClientOptions,
} from './configurationClientPlugin';
export {
  createHostListClientPlugin,
  leaveHostList,
  type HostListClientOptions,
} from './hostListClientPlugin';
export {createJournalClientPlugin, journalStream} from './journalClientPlugin';
export {createLogClient, type LogClient} from './LogClient';
export {PlatformError} from './PlatformError';
export {requestJson, type JsonRequest} from './requestJson';
export {
  createWorkerClientPlugin,
  type WorkerClientOptions,
} from './workerClientPlugin';
