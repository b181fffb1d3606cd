/** Simulated sites, in virtual time or as processes, with invariant checks. */
export {readAnswers} from './answerChecks';
export {
  type Crowd,
  type CrowdScript,
  encodeAnnouncedHead,
  encodeChunk,
  encodeChunkedHead,
  repeat,
  startCrowd,
} from './callerCrowd';
export {changeCapacity} from './capacityFaults';
export {IdleSiteLedger} from './IdleSiteLedger';
export {InvariantChecker, type Invariant} from './InvariantChecker';
export {
  buildConfiguration,
  buildJob,
  buildPolicy,
  buildStep,
} from './jobFixture';
export {buildAccount} from './modelConfiguration';
export {
  ModelLog,
  PROMPT_READS,
  type LogFaultState,
  type ReadBehaviour,
} from './ModelLog';
export type {ModelHost, ModelSiteOptions} from './ModelHost';
export {ModelSite} from './ModelSite';
export {
  type SocketWatch,
  countOpenSockets,
  peakResidentBytes,
  watchSockets,
} from './processUsage';
export {
  type RegistryEntry,
  buildRegistryEntry,
  encodeRegistryEntry,
} from './registryEntry';
export {buildModelSite} from './siteFixture';
export {NO_SITE_FAULTS, type SiteFaultState} from './SiteFaultState';
export type {TaskScript} from './ModelRun';
export {ModelWorker} from './ModelWorker';
export {
  type ScheduleReport,
  drawSteps,
  runSiteSchedule,
} from './runSiteSchedule';
export {
  ACCOUNT_FAULTS,
  ALL_FAULTS,
  REFUSAL_FAULTS,
  REQUEST_FAULTS,
  PARTITION_FAULTS,
  RESTART_FAULTS,
  STREAM_FAULTS,
  TICKET_RESTART_FAULTS,
  type ScheduleFaults,
} from './ScheduleFaults';
export {
  type HostAnswer,
  DEFAULT_POLICY,
  callHost,
  cancelAt,
  encodeConfiguration,
  waitForHolder,
  readReadiness,
  readJobState,
  submitAt,
} from './siteClient';
export {
  type CallFault,
  type PlatformFaultState,
  NO_PLATFORM_FAULTS,
} from './platformFaults';
export {readDeployedFlags} from './readDeployedFlags';
export {
  type Platform,
  type PlatformOptions,
  startPlatform,
} from './startPlatform';
export {
  type ProcessLimits,
  type SiteProcessHost,
  type SiteProcesses,
  startSiteProcesses,
} from './startSiteProcesses';
