import {stepKey} from '@samphireramp/jobs';
import {createTableSlice, type Update} from '@samphireramp/kernel';
import type {Candidate, ReadyStep} from './candidates';
import {expectFit} from './gangPlan';
import {stepIdOf} from './readySteps';

/**
 * For so long a pass uses what an earlier one expected: on a full site there are many
 * passes a second, and each would go over the runs on hundreds of workers.
 */
const EXPECTATION_VALID_MILLIS = 200;

/** When a gang is expected to fit. */
interface ExpectedFit {
  readonly expectedAt: number;
  /** Undefined if no time is known. */
  readonly fitsAt: number | undefined;
}

/** When gangs that wait are expected to fit, by step key. */
export const EXPECTED_FITS = createTableSlice<ExpectedFit>('expected-fits');

/**
 * Returns when a gang is expected to fit on some workers, on the runtime's monotonic
 * clock; undefined if no time is known.
 */
export function expectedFitOf(
  update: Update,
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): number | undefined {
  const key = stepKey(stepIdOf(readyStep));
  const known = update.read(EXPECTED_FITS).get(key);
  if (known !== undefined && isValid(known, update.now)) {
    return known.fitsAt;
  }
  const fitsAt = expectFit(candidates, readyStep, update.now);
  update.write(EXPECTED_FITS).set(key, {expectedAt: update.now, fitsAt});
  return fitsAt;
}

/** Forgets what is not expected any more. */
export function forgetExpectedFits(update: Update): void {
  const table = update.write(EXPECTED_FITS);
  for (const [key, fit] of [...table.entries()]) {
    if (!isValid(fit, update.now)) {
      table.delete(key);
    }
  }
}

function isValid({expectedAt, fitsAt}: ExpectedFit, now: number): boolean {
  return (
    now - expectedAt < EXPECTATION_VALID_MILLIS && (fitsAt ?? Infinity) > now
  );
}
