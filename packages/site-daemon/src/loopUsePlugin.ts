import {HOLDING_TICK, heldTerm} from '@samphireramp/holding';
import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import type {Log, Metrics} from '@samphireramp/telemetry';

/** Length of the windows whose use is told. */
const WINDOW_MILLIS = 2000;
/** A window with more use than this is logged: callers wait for the processor. */
const FULL_SHARE = 0.9;

/** What the loop of the process has done so far, in milliseconds. */
export interface LoopTimes {
  readonly active: number;
  readonly idle: number;
  /** The part of `active` that went into placement passes. */
  readonly passes: number;
}

/** Options of `createLoopUsePlugin`. */
export interface LoopUseOptions {
  readonly readTimes: () => LoopTimes;
  readonly metrics: Metrics;
  readonly log: Log;
}

/**
 * Tells how much of its time the loop is in use: the gauge `loop_share`, from 0 to 1, of
 * the latest window, and a log line for each window that is full. Changes no state.
 */
export function createLoopUsePlugin({
  readTimes,
  metrics,
  log,
}: LoopUseOptions): Plugin {
  return kernel => {
    let beganAt: number | undefined;
    let timesAtStart: LoopTimes | undefined;
    let loopShare = 0;

    function observe(now: number): void {
      if (beganAt !== undefined && now - beganAt < WINDOW_MILLIS) {
        return;
      }
      const times = readTimes();
      if (beganAt !== undefined && timesAtStart !== undefined) {
        tellWindow(now - beganAt, timesAtStart, times);
      }
      beganAt = now;
      timesAtStart = times;
    }

    function tellWindow(millis: number, from: LoopTimes, to: LoopTimes): void {
      const active = to.active - from.active;
      const total = active + to.idle - from.idle;
      loopShare = total > 0 ? active / total : 0;
      if (loopShare > FULL_SHARE) {
        log('loop-full', {
          millis: Math.round(millis),
          activeMillis: Math.round(active),
          passMillis: Math.round(to.passes - from.passes),
          term: heldTerm(kernel),
        });
      }
    }

    return mergeUnregister(
      metrics.gauge('loop_share', () => loopShare),
      kernel.registerCommand(HOLDING_TICK, ({now}) => observe(now)),
    );
  };
}
