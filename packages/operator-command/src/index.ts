/** The operators' command: host status, job history and file checks. */
export {CommandError, EXIT_STATUS} from './CommandError';
export {readConfiguration, readHostSettings} from './readFiles';
export {type JobHistory, explainJob} from './explainJob';
export {type LogLine, parseLogLine, parseLogLines} from './logLines';
export {type AccountStatus, formatAccount, listAccounts} from './accountStatus';
export {type HostStatus, parseSeries, readHostStatus} from './hostStatus';
