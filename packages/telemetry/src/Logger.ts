import createDebug from 'debug';
import {format} from 'node:util';

/** A value that a log line may carry. */
export type LogValue = string | number | boolean | undefined;

/** The fields of one event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one line for an event. */
export type Log = (event: string, fields?: LogFields) => void;

const NAMESPACE = 'samphireramp';
const PLAIN_VALUE = /^[A-Za-z0-9_.:/~@#+-]+$/;

/** Formats key=value pairs on one line; quotes values that could forge more. */
export function formatEvent(event: string, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`);
  return [`event=${formatValue(event)}`, ...pairs].join(' ');
}

/** Creates a logger for a component, such as `host`. */
export function createLogger(component: string): Log {
  const write = createDebug(`${NAMESPACE}:${component}`);
  return (event, fields) => {
    if (write.enabled) {
      write('%s', formatEvent(event, fields));
    }
  };
}

/** Sends all log lines to `line` instead of standard error. */
export function writeLogsTo(line: (text: string) => void): void {
  createDebug.log = (...args: unknown[]) => line(format(...args));
}

/** Enables the loggers that match a pattern, such as `samphireramp:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

function formatValue(value: string): string {
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}
