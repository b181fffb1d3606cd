import fc from 'fast-check';
import t from 'tap';
import {checkSchedule} from './checkSchedule';
import {ACCOUNT_FAULTS} from '../../site';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 8);
/** Seed from which fast-check draws the seeds of the schedules. */
const GENERATOR_SEED = Number(process.env['SITE_SEED'] ?? 20261205);

// Guards against accounts above their limit after the holder was killed, orders were
// carried out late, jobs were cancelled or limits lowered, and against jobs that wait
// for good because of a limit.
void t.test('accounts keep to their limits in schedules of faults', async t => {
  await fc.assert(
    fc.asyncProperty(fc.integer({min: 1, max: 1_000_000}), seed =>
      checkSchedule(seed, ACCOUNT_FAULTS),
    ),
    {numRuns: SCHEDULE_COUNT, seed: GENERATOR_SEED, endOnFailure: true},
  );
  t.pass(`${SCHEDULE_COUNT} schedules`);
});
