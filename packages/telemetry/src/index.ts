/** Logs of one line an event, and metrics for a scrape. */
export {
  createLogger,
  enableLogs,
  formatEvent,
  type Log,
  type LogFields,
  type LogValue,
} from './Logger';
export {createMetrics, type Labels, type Metrics} from './Metrics';
