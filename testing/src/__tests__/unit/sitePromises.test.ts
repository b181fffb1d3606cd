import fc from 'fast-check';
import t from 'tap';
import {ALL_FAULTS, runSiteSchedule} from '../../site';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 12);
/** Seed from which fast-check draws the seeds of the schedules. */
const GENERATOR_SEED = process.env['SITE_SEED'];

void t.test('no schedule of faults violates an invariant', async t => {
  await fc.assert(
    fc.asyncProperty(fc.integer({min: 1, max: 1_000_000}), async seed => {
      const report = await runSiteSchedule(seed, ALL_FAULTS);
      const findings = [
        ...report.violations,
        ...report.unfinished,
        ...report.errors.map(error => String((error as Error).stack)),
      ];
      if (findings.length > 0) {
        throw new Error(`seed ${seed}: ${findings.slice(0, 5).join('; ')}`);
      }
    }),
    {
      numRuns: SCHEDULE_COUNT,
      seed: GENERATOR_SEED === undefined ? 20261204 : Number(GENERATOR_SEED),
      endOnFailure: true,
    },
  );
  t.pass(`${SCHEDULE_COUNT} schedules`);
});
