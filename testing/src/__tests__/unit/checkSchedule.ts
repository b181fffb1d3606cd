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
