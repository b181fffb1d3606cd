import {HOLDING} from '@samphireramp/holding';
import {type Update, createTableSlice} from '@samphireramp/kernel';
import {DISPATCH_EVENT} from './messages';

/** What a new holder reaches one after the other before its first step is placed. */
export type TakeOverStep =
  | 'requests-read'
  | 'requests-out-of-reach'
  | 'advice-requested'
  | 'advice-received'
  | 'step-placed';

/** The steps that this holding has reached. */
export const TAKE_OVER_STEPS = createTableSlice<true>('take-over-steps');

/** Logs how long after its beginning this holding reaches a step for the first time. */
export function reachTakeOverStep(update: Update, step: TakeOverStep): void {
  if (update.read(TAKE_OVER_STEPS).has(step)) {
    return;
  }
  update.write(TAKE_OVER_STEPS).set(step, true);
  const {holdingBeganAt} = update.read(HOLDING).get();
  update.emit(DISPATCH_EVENT, {
    event: 'take-over-reached',
    subject: '',
    detail: step,
    millis: Math.round(update.now - holdingBeganAt),
  });
}
