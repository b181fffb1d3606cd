/** The operators' command, for those who embed it. */
export {CommandError, EXIT} from './CommandError';
export {
  applyFile,
  checkFile,
  explainJob,
  showDifference,
  showHistory,
  showStatus,
  type ApplyOptions,
  type CommandOutput,
} from './commands';
export {publish, readHistory} from './configurationLog';
export {
  formatFault,
  parseDeclaration,
  readDeclaration,
  type FileFault,
} from './readDeclaration';
