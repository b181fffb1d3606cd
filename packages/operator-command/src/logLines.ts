import {GATHERED_EVENT, splitGatheredFields} from '@samphireramp/telemetry';

/** One line of a host's log. */
export interface LogLine {
  /** Name of the host, taken from the line or, failing that, from the file. */
  readonly source: string;
  /** Milliseconds since the Unix epoch, by the host's clock. */
  readonly at: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const LOG_LINE =
  /^(.*?)(\d{4}-\d\d-\d\dT[\d:.]+Z) samphireramp:\S+ (event=.*)$/;
const FIELD = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Parses a log line of the daemon; returns undefined for any other text. The last
 * word before the time, such as a host name that a log collector adds, is the
 * source of the line; without one, `source` is.
 */
export function parseLogLine(
  text: string,
  source: string,
): LogLine | undefined {
  const match = LOG_LINE.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, prefix, time, pairs] = match;
  const fields: Record<string, string> = {};
  for (const [, key, value] of pairs.matchAll(FIELD)) {
    fields[key] = value.startsWith('"') ? unquote(value) : value;
  }
  const {event, ...rest} = fields;
  return {
    source: prefix.trim().split(/\s+/).at(-1) || source,
    at: Date.parse(time),
    event,
    fields: rest,
  };
}

/**
 * Parses a log line of the daemon, and splits one with several gathered events.
 * Returns no line for any other text.
 */
export function parseLogLines(text: string, source: string): LogLine[] {
  const line = parseLogLine(text, source);
  if (line?.event !== GATHERED_EVENT) {
    return line === undefined ? [] : [line];
  }
  return splitGatheredFields(line.fields).map(({afterMillis, fields}) => ({
    source: line.source,
    at: line.at + afterMillis,
    event: line.fields['of'] ?? GATHERED_EVENT,
    fields,
  }));
}

function unquote(value: string): string {
  try {
    return String(JSON.parse(value));
  } catch {
    // The line is truncated in this value, which is kept as it is.
    return value;
  }
}
