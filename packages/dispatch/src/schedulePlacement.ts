import {type Update, createValueSlice} from '@samphireramp/kernel';
import {SCHEDULE_PLACEMENT} from './messages';

/** Whether a placement pass is scheduled already. */
export const PLACEMENT_SCHEDULED = createValueSlice('placing-planned', false);

/** Schedules a placement pass, unless one is scheduled already. */
export function schedulePlacement(update: Update): void {
  const scheduled = update.write(PLACEMENT_SCHEDULED);
  if (!scheduled.get()) {
    scheduled.set(true);
    update.emit(SCHEDULE_PLACEMENT, undefined);
  }
}
