/** The operators' command: how a site stands, and why a job waits. */
export {CommandError, EXIT} from './CommandError';
export {checkConfiguration, checkSettings} from './checkFiles';
export {type Story, explainJob} from './explainJob';
export {type LogLine, parseLogLine} from './logLines';
export {type HostStatus, readStatus} from './hostStatus';
