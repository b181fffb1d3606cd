import type {Test} from 'tap';
import {ALL_FAULTS, runSiteSchedule} from '../../site';

/** Checks that the schedule of a seed violates no invariant and ends all jobs. */
export async function checkSeed(t: Test, seed: number): Promise<void> {
  const report = await runSiteSchedule(seed, ALL_FAULTS);
  t.same(report.violations, [], `violations with seed ${seed}`);
  t.same(report.unfinished, [], `unfinished jobs with seed ${seed}`);
  t.same(report.errors, [], `errors with seed ${seed}`);
}
