import {type Update, createValueSlice} from '@samphireramp/kernel';
import {SCHEDULE_PLACEMENT} from './messages';

/** Whether a pass of placing is planned already. */
export const PLACING_PLANNED = createValueSlice('placing-planned', false);

/** Has waiting work placed soon, once for all that happens until then. */
export function placeSoon(update: Update): void {
  const planned = update.write(PLACING_PLANNED);
  if (!planned.get()) {
    planned.set(true);
    update.emit(SCHEDULE_PLACEMENT, undefined);
  }
}
