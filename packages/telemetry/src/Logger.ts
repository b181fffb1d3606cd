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

/** One line of key=value pairs; no value can start a line or a pair. */
export function formatEvent(event: string, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`);
  return [`event=${formatValue(event)}`, ...pairs].join(' ');
}

/** Makes a logger for a part of the program. */
export function createLogger(part: string): Log {
  const write = createDebug(`${NAMESPACE}:${part}`);
  return (event, fields) => {
    if (write.enabled) {
      write('%s', formatEvent(event, fields));
    }
  };
}

/** Sends all log lines to `line` in place of standard error. */
export function writeLogsTo(line: (text: string) => void): void {
  createDebug.log = (...args: unknown[]) => line(format(...args));
}

/** Turns on the logs that a pattern names, such as `samphireramp:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

function formatValue(value: string): string {
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}
