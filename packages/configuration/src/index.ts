/** Revisions of the declaration: their order, their spread, their audit. */
export {applyRecord, supersedes, type RecordVerdict} from './applyRecord';
export {
  APPEND_CONFIGURATION,
  AUDIT,
  AUDITED,
  CONFIGURATION_READ,
  REPUBLISH_DUE,
  REVISIONS,
  REVISION_IN_FORCE,
  createConfigurationPlugin,
  declarationInForce,
  revisionInForce,
  type ConfigurationOptions,
} from './configurationPlugin';
export {describeChanges} from './describeChanges';
