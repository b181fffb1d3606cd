/** Structured logs, one line for each event, and metrics for Prometheus. */
export {
  createLogger,
  enableLogs,
  formatEvent,
  writeLogsTo,
  type Log,
  type LogFields,
  type LogValue,
} from './Logger';
export {
  type LineWriter,
  type LineWriterOptions,
  createLineWriter,
} from './lineWriter';
export {createMetrics, type Labels, type Metrics} from './Metrics';
