import {
  BEGIN_PASS,
  PLACE_TASKS,
  SCHEDULE_PLACEMENT,
} from '@samphireramp/dispatch';
import {
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
} from '@samphireramp/intake';
import {type Unregister, mergeUnregister} from '@samphireramp/kernel';
import type {Timeline} from '../EventQueue';
import type {ModelHost} from './ModelHost';

/** Delay of a placement pass. */
const PLACEMENT_DELAY_MILLIS = 2;
/** Interval at which a frozen host is looked at again. */
const FROZEN_RETRY_MILLIS = 20;

/** Runs the delayed commands of a host's current process in virtual time. */
export function registerModelTimers(
  host: ModelHost,
  timeline: Timeline,
): Unregister {
  const {kernel} = host;

  /** Runs a callback later, unless the process ends; waits for a frozen host. */
  function defer(millis: number, callback: () => void): void {
    timeline.after(millis, () => {
      if (!host.isUp || host.kernel !== kernel) {
        return;
      }
      if (host.isFrozen) {
        defer(FROZEN_RETRY_MILLIS, callback);
      } else {
        callback();
      }
    });
  }

  return mergeUnregister(
    kernel.registerEffect(SCHEDULE_PLACEMENT, ({scope}) =>
      defer(PLACEMENT_DELAY_MILLIS, () => {
        kernel.dispatch(BEGIN_PASS, {scope});
        kernel.dispatch(PLACE_TASKS, {scope});
      }),
    ),
    kernel.registerEffect(SCHEDULE_FLUSH, ({millis}) =>
      defer(millis, () => kernel.dispatch(FLUSH_REQUESTS, undefined)),
    ),
    kernel.registerEffect(SCHEDULE_HEDGE, ({millis, ...batch}) =>
      defer(millis, () => kernel.dispatch(HEDGE_REQUESTS, batch)),
    ),
  );
}
