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

/** Interval of `HOLDING_TICK`. */
export const HOLDING_TICK_MILLIS = 40;
const FLEET_TICK_MILLIS = 100;
const DISPATCH_TICK_MILLIS = 100;
const INTAKE_TICK_MILLIS = 5000;
/** Delay before a placement pass, so that one pass handles several changes. */
const PLACEMENT_DELAY_MILLIS = 2;
/**
 * Minimum delay before a placement pass, as a multiple of the duration of the
 * last one; bounds the share of the loop's time that placement takes.
 */
const PLACEMENT_REST_FACTOR = 4;

/**
 * Dispatches periodic and delayed commands with the timers of the runtime.
 * Calls `onPlacementPass` with the duration of each placement pass.
 */
export function createTimersPlugin(
  now: () => number,
  onPlacementPass: (millis: number) => void,
): Plugin {
  return kernel => {
    const dispatchEvery = (command: Command<void>, millis: number) =>
      setInterval(() => kernel.dispatch(command, undefined), millis);
    let restMillis = 0;
    const runPlacement = () => {
      const startedAt = now();
      kernel.dispatch(PLACE_TASKS, undefined);
      const passMillis = now() - startedAt;
      onPlacementPass(passMillis);
      restMillis = passMillis * PLACEMENT_REST_FACTOR;
    };
    const timers = [
      dispatchEvery(HOLDING_TICK, HOLDING_TICK_MILLIS),
      dispatchEvery(FLEET_TICK, FLEET_TICK_MILLIS),
      dispatchEvery(DISPATCH_TICK, DISPATCH_TICK_MILLIS),
      dispatchEvery(INTAKE_TICK, INTAKE_TICK_MILLIS),
    ];
    return mergeUnregister(
      () => timers.forEach(timer => clearInterval(timer)),
      kernel.registerEffect(SCHEDULE_PLACEMENT, () => {
        setTimeout(runPlacement, Math.max(PLACEMENT_DELAY_MILLIS, restMillis));
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
