import {
  type Platform,
  type SiteProcesses,
  QUEUE,
  encodeConfiguration,
  readinessOf,
  startPlatform,
  startSiteProcesses,
  waitFor,
} from '@samphireramp/testing';

const PROGRAM = 'dist/samphireramp-site.mjs';
const PATIENCE_MILLIS = 20_000;
const HOSTS = 3;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

/** Starts three hosts as processes on a platform of so many workers. */
export async function startBenchProcesses(
  workers: number,
): Promise<{platform: Platform; site: SiteProcesses}> {
  const platform = await startPlatform({
    workers,
    hosts: HOSTS,
    capacity: CAPACITY,
    configuration: encodeConfiguration([QUEUE], 1),
    script: (job, place) => {
      const step = job.steps[place.step];
      return {step, workMillis: step.estimateMillis, fails: () => false};
    },
  });
  const site = await startSiteProcesses(platform, HOSTS, PROGRAM);
  for (const host of site.hosts) {
    await waitFor(
      async () => (await readinessOf(host)) === 200,
      PATIENCE_MILLIS,
    );
  }
  return {platform, site};
}
