import {
  BEGIN_PASS,
  DISPATCH_TICK,
  PLACE_TASKS,
  type PlacementScope,
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
import {createPlacementTimer} from './placementTimer';

/** Interval of `HOLDING_TICK`. */
export const HOLDING_TICK_MILLIS = 40;
const FLEET_TICK_MILLIS = 100;
const DISPATCH_TICK_MILLIS = 100;
const INTAKE_TICK_MILLIS = 5000;

/**
 * Dispatches periodic and delayed commands with the timers of the runtime.
 * Calls `onPlacementPass` with the scope and duration of each placement pass.
 */
export function createTimersPlugin(
  now: () => number,
  onPlacementPass: (scope: PlacementScope, millis: number) => void,
): Plugin {
  return kernel => {
    const dispatchEvery = (command: Command<void>, millis: number) =>
      setInterval(() => kernel.dispatch(command, undefined), millis);
    const schedulePass = createPlacementTimer({
      now,
      delay: (callback, millis) => void setTimeout(callback, millis),
      runPass: scope => {
        const startedAt = now();
        kernel.dispatch(BEGIN_PASS, {scope});
        kernel.dispatch(PLACE_TASKS, {scope});
        onPlacementPass(scope, now() - startedAt);
      },
    });
    const timers = [
      dispatchEvery(HOLDING_TICK, HOLDING_TICK_MILLIS),
      dispatchEvery(FLEET_TICK, FLEET_TICK_MILLIS),
      dispatchEvery(DISPATCH_TICK, DISPATCH_TICK_MILLIS),
      dispatchEvery(INTAKE_TICK, INTAKE_TICK_MILLIS),
    ];
    return mergeUnregister(
      () => timers.forEach(timer => clearInterval(timer)),
      kernel.registerEffect(SCHEDULE_PLACEMENT, ({scope}) =>
        schedulePass(scope),
      ),
      kernel.registerEffect(SCHEDULE_HEDGE, ({millis, ...batch}) => {
        setTimeout(() => kernel.dispatch(HEDGE_REQUESTS, batch), millis);
      }),
      kernel.registerEffect(SCHEDULE_FLUSH, ({millis}) => {
        setTimeout(() => kernel.dispatch(FLUSH_REQUESTS, undefined), millis);
      }),
    );
  };
}
