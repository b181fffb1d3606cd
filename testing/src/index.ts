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
