import fc from 'fast-check';
import t from 'tap';
import {ACCOUNT_FAULTS, runSiteSchedule} from '../../site';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 8);
/** Seed from which fast-check draws the seeds of the schedules. */
const GENERATOR_SEED = Number(process.env['SITE_SEED'] ?? 20261205);

// Guards against accounts above their limit after the holder was killed, orders were
// carried out late, jobs were cancelled or limits lowered, and against jobs that wait
// for good because of a limit.
void t.test('accounts keep to their limits in schedules of faults', async t => {
  await fc.assert(
    fc.asyncProperty(fc.integer({min: 1, max: 1_000_000}), async seed => {
      const report = await runSiteSchedule(seed, ACCOUNT_FAULTS);
      const findings = [
        ...report.violations,
        ...report.unfinished,
        ...report.errors.map(error => String((error as Error).stack)),
      ];
      if (findings.length > 0) {
        throw new Error(`seed ${seed}: ${findings.slice(0, 5).join('; ')}`);
      }
    }),
    {numRuns: SCHEDULE_COUNT, seed: GENERATOR_SEED, endOnFailure: true},
  );
  t.pass(`${SCHEDULE_COUNT} schedules`);
});
