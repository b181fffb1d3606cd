/** One line of a host's log. */
export interface LogLine {
  /** The host, as far as the file or the line tells. */
  readonly source: string;
  /** Milliseconds since 1970, by the host's clock. */
  readonly at: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const LINE = /^(.*?)(\d{4}-\d\d-\d\dT[\d:.]+Z) samphireramp:\S+ (event=.*)$/;
const PAIR = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Reads a line as the daemon writes it. What stands before the time, such as
 * the name that a collector of logs puts there, is taken for the source.
 */
export function parseLogLine(
  text: string,
  source: string,
): LogLine | undefined {
  const match = LINE.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, before, time, pairs] = match;
  const fields: Record<string, string> = {};
  for (const [, key, value] of pairs.matchAll(PAIR)) {
    fields[key] = value.startsWith('"') ? unquote(value) : value;
  }
  const {event, ...rest} = fields;
  return {
    source: before.trim().split(/\s+/).at(-1) || source,
    at: Date.parse(time),
    event,
    fields: rest,
  };
}

function unquote(value: string): string {
  try {
    return String(JSON.parse(value));
  } catch {
    // A line that was cut short keeps what is left of its last value.
    return value;
  }
}
