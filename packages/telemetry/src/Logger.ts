import createDebug from 'debug';
import {format} from 'node:util';

/** A value that a log line may carry. */
export type LogValue = string | number | boolean | undefined;

/** The fields of one event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one line for an event. */
export type Log = (event: string, fields?: LogFields) => void;

/** Receives each event that is logged, and what precedes it on its line. */
export type WriteEvent = (prefix: string, event: LogEvent) => void;

const NAMESPACE = 'samphireramp';
const PLAIN_VALUE = /^[A-Za-z0-9_.:/~@#+-]+$/;
/** Where the debug library puts the event on its line. */
const EVENT_PLACEHOLDER = '%s';

/** An event to log; as a string, it is its key=value pairs on one line. */
export class LogEvent {
  constructor(
    readonly name: string,
    readonly fields: LogFields = {},
  ) {}

  toString(): string {
    return formatEvent(this.name, this.fields);
  }
}

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
      write(EVENT_PLACEHOLDER, new LogEvent(event, fields));
    }
  };
}

/** Passes all events to `writeEvent` instead of standard error. */
export function writeLogsTo(writeEvent: WriteEvent): void {
  createDebug.log = (template: string, event: unknown, ...rest: unknown[]) => {
    if (event instanceof LogEvent) {
      writeEvent(template.replace(EVENT_PLACEHOLDER, ''), event);
    } else {
      // A line of another user of the debug library.
      const text = format(template, event, ...rest);
      writeEvent('', new LogEvent('debug-output', {text}));
    }
  };
}

/** Enables the loggers that match a pattern, such as `samphireramp:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

function formatValue(value: string): string {
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}
