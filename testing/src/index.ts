/** Fixtures built by functions, for tests, benchmarks and the demo. */
export {callEntry, readHostStatus, type CallerAnswer} from './callerClient';
export {
  buildDeclaration,
  buildDeclarationValue,
  workerName,
  type DeclarationOptions,
} from './declarationFixture';
export {findFreePorts} from './findFreePorts';
export {
  startSite,
  waitFor,
  type CommandResult,
  type Site,
  type SiteHost,
  type SiteOptions,
  type SiteProcess,
  type SiteWorker,
} from './startSite';
export {EventQueue, type Timeline} from './EventQueue';
export {createRandom} from './seededRandom';
export {VirtualHost} from './VirtualHost';
export {
  CALM,
  VirtualSite,
  type VirtualSiteOptions,
  type Weather,
} from './VirtualSite';
export {VirtualWorker} from './VirtualWorker';
export {
  NO_FAULT_RATES,
  runSchedule,
  type FaultRates,
  type ScheduleOptions,
  type ScheduleReport,
} from './runSchedule';
export {
  buildDurableDeclaration,
  buildSchedule,
  findingsOf,
} from './scheduleFixture';
export {jobHasEnded} from './jobHasEnded';
export * from './site';
