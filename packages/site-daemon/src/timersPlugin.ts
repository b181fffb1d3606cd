import {
  DISPATCH_TICK,
  PLACE_TASKS,
  SCHEDULE_PLACEMENT,
} from '@samphireramp/dispatch';
import {FLEET_TICK} from '@samphireramp/fleet';
import {HOLDING_TICK} from '@samphireramp/holding';
import {
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_TICK,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
} from '@samphireramp/intake';
import {type Command, type Plugin, mergeUnregister} from '@samphireramp/kernel';

const HOLDING_TICK_MILLIS = 40;
const FLEET_TICK_MILLIS = 100;
const DISPATCH_TICK_MILLIS = 100;
const INTAKE_TICK_MILLIS = 5000;
/** What happens within this time is placed in one pass. */
const PLACING_GATHER_MILLIS = 2;
/** A pass rests for this many times what the last one took. */
const PLACING_REST_TIMES = 4;

/** Tells the kernel, on the runtime's clock, that things are due. */
export function createTimersPlugin(now: () => number): Plugin {
  return kernel => {
    const every = (command: Command<void>, millis: number) =>
      setInterval(() => kernel.dispatch(command, undefined), millis);
    let restMillis = 0;
    const place = () => {
      const startedAt = now();
      kernel.dispatch(PLACE_TASKS, undefined);
      restMillis = (now() - startedAt) * PLACING_REST_TIMES;
    };
    const timers = [
      every(HOLDING_TICK, HOLDING_TICK_MILLIS),
      every(FLEET_TICK, FLEET_TICK_MILLIS),
      every(DISPATCH_TICK, DISPATCH_TICK_MILLIS),
      every(INTAKE_TICK, INTAKE_TICK_MILLIS),
    ];
    return mergeUnregister(
      () => timers.forEach(timer => clearInterval(timer)),
      kernel.registerEffect(SCHEDULE_PLACEMENT, () => {
        setTimeout(place, Math.max(PLACING_GATHER_MILLIS, restMillis));
      }),
      kernel.registerEffect(SCHEDULE_HEDGE, ({batchId, millis}) => {
        setTimeout(() => kernel.dispatch(HEDGE_REQUESTS, {batchId}), millis);
      }),
      kernel.registerEffect(SCHEDULE_FLUSH, ({millis}) => {
        setTimeout(() => kernel.dispatch(FLUSH_REQUESTS, undefined), millis);
      }),
    );
  };
}
