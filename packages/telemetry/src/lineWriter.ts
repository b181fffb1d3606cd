import {type TimedEvent, gatherEvents} from './gatheredEvents';
import type {LogEvent} from './Logger';

/** Options of `createLineWriter`. */
export interface LineWriterOptions {
  /** Writes text without blocking. */
  readonly write: (text: string) => void;
  /** Bytes that were written and that the reader has not yet consumed. */
  readonly backlogBytes: () => number;
  /** Rate limit; events beyond it are gathered, and then dropped and counted. */
  readonly linesPerSecond: number;
  /** Whether events of this name are always gathered, so that others get lines. */
  readonly isRoutine: (eventName: string) => boolean;
  /** Milliseconds of the runtime's monotonic clock. */
  readonly now: () => number;
}

/** Writes lines in batches, with a bounded rate and backlog. */
export interface LineWriter {
  /** Buffers the line of an event for the next flush, or drops it. */
  write(prefix: string, event: LogEvent): void;
  /**
   * Writes the buffered lines, unless the backlog is above its limit; to be called
   * by a timer.
   */
  flush(): void;
  /** Writes all buffered lines, whatever the rate; to be called on exit. */
  close(): void;
  /** Number of events dropped since the start, by name. */
  droppedLines(): ReadonlyMap<string, number>;
}

/** Events of one name that wait to be gathered into one line. */
interface EventGroup {
  /** What precedes the first event on its line. */
  readonly prefix: string;
  readonly timedEvents: TimedEvent[];
  characters: number;
}

/** A formatted line and when its event, or the first of them, was logged. */
interface BufferedLine {
  readonly at: number;
  readonly text: string;
}

const MILLIS_PER_SECOND = 1000;
/** Above this backlog, nothing is written. */
const MAX_BACKLOG_BYTES = 262_144;
/** Events are gathered into another line once they are this long in all. */
const MAX_GROUP_CHARACTERS = 4096;
/** Maximum number of lines of one event name that wait for a flush. */
const MAX_WAITING_GROUPS = 16;
/** A longer line counts as several against the rate. */
const CHARACTERS_PER_LINE = 1024;
/** Share of the rate that only lines with gathered events may use. */
const GATHERED_SHARE = 0.5;

/**
 * Creates a writer that gathers events, and then drops them, instead of blocking
 * or exceeding its rate. Each name of events has its own limit, so that many
 * events of one name do not displace those of another.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {write, backlogBytes, linesPerSecond, isRoutine, now} = options;
  const minTokensOfOwnLine = linesPerSecond * GATHERED_SHARE;
  let bufferedLines: BufferedLine[] = [];
  /** Groups that wait for a flush, at least one for each name. */
  const waitingGroups = new Map<string, EventGroup[]>();
  /** Token bucket of the rate limit; a long line may overdraw it. */
  let tokens = linesPerSecond;
  let refilledAt = now();
  const droppedTotal = new Map<string, number>();
  const droppedSinceReport = new Map<string, number>();

  function refillTokens(): void {
    const elapsedSeconds = (now() - refilledAt) / MILLIS_PER_SECOND;
    refilledAt = now();
    tokens = Math.min(linesPerSecond, tokens + elapsedSeconds * linesPerSecond);
  }

  function bufferLine(at: number, text: string): void {
    tokens -= Math.max(1, text.length / CHARACTERS_PER_LINE);
    bufferedLines.push({at, text});
  }

  function gatherEvent(prefix: string, event: LogEvent): void {
    const groups = waitingGroups.get(event.name) ?? [];
    let group = groups.at(-1);
    if (group === undefined || group.characters >= MAX_GROUP_CHARACTERS) {
      if (groups.length === MAX_WAITING_GROUPS) {
        increment(droppedTotal, event.name);
        increment(droppedSinceReport, event.name);
        return;
      }
      group = {prefix, timedEvents: [], characters: 0};
      groups.push(group);
      waitingGroups.set(event.name, groups);
    }
    group.timedEvents.push({at: now(), event});
    group.characters += String(event).length;
  }

  /** Takes the group that waits first; its name goes behind the others. */
  function takeGroup(isRoutineGroup: boolean): EventGroup | undefined {
    for (const [name, groups] of waitingGroups) {
      if (isRoutine(name) === isRoutineGroup) {
        const group = groups.shift();
        waitingGroups.delete(name);
        if (groups.length > 0) {
          waitingGroups.set(name, groups);
        }
        return group;
      }
    }
    return undefined;
  }

  function bufferGroups(areRoutine: boolean, minTokens: number): void {
    while (tokens >= minTokens) {
      const group = takeGroup(areRoutine);
      if (group === undefined) {
        return;
      }
      bufferGroup(group);
    }
  }

  function bufferGroup({prefix, timedEvents}: EventGroup): void {
    const [first] = timedEvents;
    const event =
      timedEvents.length === 1 ? first.event : gatherEvents(timedEvents);
    bufferLine(first.at, `${prefix}${event}`);
  }

  function bufferDroppedReport(): void {
    const counts = [...droppedSinceReport];
    const total = counts.reduce((sum, [, count]) => sum + count, 0);
    const countsText = counts.map(([name, count]) => `${name}:${count}`);
    bufferLine(
      now(),
      `event=log-lines-left-out count=${total} of=${countsText.join(',')}`,
    );
    droppedSinceReport.clear();
  }

  /** Writes what the given number of tokens allows. */
  function writeLines(minTokens: number): void {
    bufferGroups(false, minTokens);
    if (droppedSinceReport.size > 0 && tokens >= minTokens) {
      bufferDroppedReport();
    }
    bufferGroups(true, minTokens);
    if (bufferedLines.length > 0) {
      const texts = bufferedLines
        .sort((a, b) => a.at - b.at)
        .map(({text}) => text);
      write(`${texts.join('\n')}\n`);
      bufferedLines = [];
    }
  }

  return {
    write: (prefix, event) => {
      refillTokens();
      const hasOwnLine =
        !isRoutine(event.name) &&
        tokens >= Math.max(1, minTokensOfOwnLine) &&
        backlogBytes() <= MAX_BACKLOG_BYTES;
      if (hasOwnLine) {
        bufferLine(now(), `${prefix}${event}`);
      } else {
        gatherEvent(prefix, event);
      }
    },
    flush: () => {
      if (backlogBytes() <= MAX_BACKLOG_BYTES) {
        refillTokens();
        writeLines(1);
      }
    },
    close: () => writeLines(-Infinity),
    droppedLines: () => droppedTotal,
  };
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
