import {type Update, createValueSlice} from '@samphireramp/kernel';
import {type PlacementScope, SCHEDULE_PLACEMENT} from './messages';

/** Which placement passes are scheduled. */
export interface ScheduledPasses {
  /** A pass over all steps. */
  readonly all: boolean;
  /** A pass over the urgent steps only. */
  readonly urgent: boolean;
}

/** The placement passes that are scheduled and have not begun. */
export const SCHEDULED_PASSES = createValueSlice<ScheduledPasses>(
  'placing-planned',
  {all: false, urgent: false},
);

/**
 * Schedules a placement pass over all steps, and one over the urgent steps, which
 * may begin sooner, unless they are scheduled already.
 */
export function schedulePlacement(update: Update): void {
  const scheduled = update.write(SCHEDULED_PASSES);
  const {all, urgent} = scheduled.get();
  if (all && urgent) {
    return;
  }
  scheduled.set({all: true, urgent: true});
  if (!all) {
    update.emit(SCHEDULE_PLACEMENT, {scope: 'all'});
  }
  if (!urgent) {
    update.emit(SCHEDULE_PLACEMENT, {scope: 'urgent'});
  }
}

/** Records that a pass begins; one over all steps includes the urgent ones. */
export function beginPass(update: Update, scope: PlacementScope): void {
  const scheduled = update.write(SCHEDULED_PASSES);
  const {all} = scheduled.get();
  scheduled.set({all: scope === 'urgent' && all, urgent: false});
}
