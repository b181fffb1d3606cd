import {LogEvent, type LogFields} from './Logger';

/** Name of the event that stands for several events of one name. */
export const GATHERED_EVENT = 'gathered';
/** Separates the values of a field, one for each gathered event. */
const VALUE_SEPARATOR = ';';
const SEPARATOR_SUBSTITUTE = ',';

/** Fields of the line itself; the others are those of the gathered events. */
const GATHERED_FIELDS: ReadonlySet<string> = new Set(['of', 'events', 'after']);

/** An event and when it was logged. */
export interface TimedEvent {
  /** Milliseconds of the runtime's monotonic clock. */
  readonly at: number;
  readonly event: LogEvent;
}

/** The fields of one gathered event, as text. */
export interface GatheredFields {
  /** Time since the first of the gathered events. */
  readonly afterMillis: number;
  readonly fields: Readonly<Record<string, string>>;
}

/**
 * Gathers events of one name into a single event. Each field lists the values of
 * all events in their order, or once if they are equal.
 */
export function gatherEvents(timedEvents: readonly TimedEvent[]): LogEvent {
  const [first] = timedEvents;
  const after = timedEvents.map(({at}) => Math.round(at - first.at));
  const names = new Set(
    timedEvents.flatMap(({event}) => Object.keys(event.fields)),
  );
  const fields: Record<string, LogFields[string]> = {
    of: first.event.name,
    events: timedEvents.length,
    after: joinValues(after.map(String)),
  };
  for (const name of names) {
    if (GATHERED_FIELDS.has(name)) {
      continue;
    }
    const values = timedEvents.map(({event}) => event.fields[name]);
    if (values.some(value => value !== undefined)) {
      fields[name] = joinValues(values.map(value => String(value ?? '')));
    }
  }
  return new LogEvent(GATHERED_EVENT, fields);
}

/** Splits the fields of a gathered event into those of each event. */
export function splitGatheredFields(
  gathered: Readonly<Record<string, string>>,
): GatheredFields[] {
  const {events, after} = gathered;
  const eventFields = Object.entries(gathered).filter(
    ([name]) => !GATHERED_FIELDS.has(name),
  );
  return Array.from({length: Number(events) || 0}, (_, index) => {
    const valueOf = (joined = '') => {
      const values = joined.split(VALUE_SEPARATOR);
      return values.length === 1 ? joined : (values[index] ?? '');
    };
    const fields = eventFields
      .map(([name, joined]) => [name, valueOf(joined)])
      .filter(([, value]) => value !== '');
    return {
      afterMillis: Number(valueOf(after)) || 0,
      fields: Object.fromEntries(fields),
    };
  });
}

function joinValues(values: readonly string[]): string {
  const safeValues = values.map(value =>
    value.replaceAll(VALUE_SEPARATOR, SEPARATOR_SUBSTITUTE),
  );
  return new Set(safeValues).size === 1
    ? safeValues[0]
    : safeValues.join(VALUE_SEPARATOR);
}
