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

/**
 * Formats an event as key=value pairs on one line. Quotes values that contain
 * spaces, line breaks or the like, so that no value can forge a pair or a line.
 */
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

/** Passes all log lines to `writeLine` instead of standard error. */
export function writeLogsTo(writeLine: (text: string) => void): void {
  createDebug.log = (...args: unknown[]) => writeLine(format(...args));
}

/** Enables the loggers that match a pattern, such as `samphireramp:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

function formatValue(value: string): string {
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}
