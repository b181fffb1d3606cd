import type {Test} from 'tap';
import {runSiteSchedule} from '../../index';

/** Runs a schedule of faults; throws an error with its seed if it has findings. */
export async function checkSchedule(
  seed: number,
  faults: Parameters<typeof runSiteSchedule>[1],
): Promise<void> {
  const report = await runSiteSchedule(seed, faults);
  const findings = [
    ...report.violations,
    ...report.unfinished,
    ...report.errors.map(error => String((error as Error).stack)),
  ];
  if (findings.length > 0) {
    throw new Error(`seed ${seed}: ${findings.slice(0, 5).join('; ')}`);
  }
}

/**
 * Checks schedules with consecutive seeds. `SITE_SEED` and `SITE_RUNS` in the environment
 * replace the first seed and the number of schedules.
 */
export async function checkSchedules(
  t: Test,
  faults: Parameters<typeof runSiteSchedule>[1],
  {firstSeed, count}: {readonly firstSeed: number; readonly count: number},
): Promise<void> {
  const first = Number(process.env['SITE_SEED'] ?? firstSeed);
  const runs = Number(process.env['SITE_RUNS'] ?? count);
  for (let index = 0; index < runs; index++) {
    await checkSchedule(first + index, faults);
  }
  t.pass(`${runs} schedules`);
}
