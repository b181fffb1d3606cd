import fc from 'fast-check';
import t from 'tap';
import {checkSchedule} from './checkSchedule';
import {ALL_FAULTS} from '../../site';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 12);
/** Seed from which fast-check draws the seeds of the schedules. */
const GENERATOR_SEED = process.env['SITE_SEED'];

void t.test('no schedule of faults violates an invariant', async t => {
  await fc.assert(
    fc.asyncProperty(fc.integer({min: 1, max: 1_000_000}), seed =>
      checkSchedule(seed, ALL_FAULTS),
    ),
    {
      numRuns: SCHEDULE_COUNT,
      seed: GENERATOR_SEED === undefined ? 20261204 : Number(GENERATOR_SEED),
      endOnFailure: true,
    },
  );
  t.pass(`${SCHEDULE_COUNT} schedules`);
});
