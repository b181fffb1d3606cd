/** Structured logs, one line for each event, and metrics for Prometheus. */
export {
  LogEvent,
  createLogger,
  enableLogs,
  formatEvent,
  writeLogsTo,
  type Log,
  type LogFields,
  type LogValue,
  type WriteEvent,
} from './Logger';
export {
  GATHERED_EVENT,
  type GatheredFields,
  splitGatheredFields,
} from './gatheredEvents';
export {createLineBudget} from './lineBudget';
export {
  type LineWriter,
  type LineWriterOptions,
  createLineWriter,
} from './lineWriter';
export {
  createMetrics,
  type GaugeSample,
  type Labels,
  type Metrics,
} from './Metrics';
