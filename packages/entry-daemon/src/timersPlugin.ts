import {REPUBLISH_DUE} from '@samphireramp/configuration';
import {JOURNAL_TICK} from '@samphireramp/journal';
import {type Command, type Plugin} from '@samphireramp/kernel';
import {HEARTBEAT_DUE} from '@samphireramp/membership';
import {LEASE_TICK} from '@samphireramp/ownership';
import {CALLS, CALL_TICK} from '@samphireramp/routing';
import {
  CONTINUE_PLACING,
  PLACE_WORK,
  WORK_TICK,
} from '@samphireramp/scheduling';

const HEARTBEAT_MILLIS = 1000;
const LEASE_TICK_MILLIS = 250;
const JOURNAL_TICK_MILLIS = 250;
const WORK_TICK_MILLIS = 250;
const CALL_TICK_MILLIS = 50;

/** Parts of the retention after which the revision is published again. */
const REPUBLICATIONS_IN_RETENTION = 4;

/** What the timers are given. */
export interface TimersOptions {
  /** How long the log keeps records. */
  readonly retentionMillis: number;
}

/** Tells the kernel, on the runtime's clock, that things are due. */
export function createTimersPlugin({retentionMillis}: TimersOptions): Plugin {
  return kernel => {
    const every = (command: Command<void>, millis: number) =>
      setInterval(() => kernel.dispatch(command, undefined), millis);
    const timers = [
      every(HEARTBEAT_DUE, HEARTBEAT_MILLIS),
      every(LEASE_TICK, LEASE_TICK_MILLIS),
      every(JOURNAL_TICK, JOURNAL_TICK_MILLIS),
      every(WORK_TICK, WORK_TICK_MILLIS),
      every(REPUBLISH_DUE, retentionMillis / REPUBLICATIONS_IN_RETENTION),
      setInterval(() => {
        if (kernel.read(CALLS).size > 0) {
          kernel.dispatch(CALL_TICK, undefined);
        }
      }, CALL_TICK_MILLIS),
    ];
    const unregister = kernel.registerEffect(CONTINUE_PLACING, payload => {
      setImmediate(() => kernel.dispatch(PLACE_WORK, payload));
    });
    kernel.dispatch(HEARTBEAT_DUE, undefined);
    return () => {
      timers.forEach(timer => clearInterval(timer));
      unregister();
    };
  };
}
