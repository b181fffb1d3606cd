/** The operators' command: host status, job history and file checks. */
export {CommandError, EXIT_STATUS} from './CommandError';
export type {
  ConfigurationFinding,
  ConfigurationPath,
} from './ConfigurationFinding';
export {compareConfigurations} from './configurationDifferences';
export {checkConfiguration} from './configurationFindings';
export {
  type ConfigurationReport,
  reportConfiguration,
  withoutKeys,
} from './configurationReport';
export {readConfiguration, readHostSettings} from './readFiles';
export {type JobHistory, explainJob} from './explainJob';
export {type LogLine, parseLogLine, parseLogLines} from './logLines';
export {type AccountStatus, formatAccount, listAccounts} from './accountStatus';
export {type HostStatus, parseSeries, readHostStatus} from './hostStatus';
