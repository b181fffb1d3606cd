import {
  type Platform,
  type PlatformOptions,
  type SiteProcesses,
  DEFAULT_POLICY,
  encodeConfiguration,
  readDeployedFlags,
  readReadiness,
  startPlatform,
  startSiteProcesses,
  waitFor,
} from '@samphireramp/testing';

const PROGRAM = 'dist/samphireramp-site.mjs';
const TIMEOUT_MILLIS = 20_000;
const HOST_COUNT = 3;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

/**
 * Starts three hosts as processes, and a simulated platform with workers;
 * `overrides` replaces options of the platform.
 */
export async function startBenchProcesses(
  workers: number,
  overrides: Partial<PlatformOptions> = {},
): Promise<{platform: Platform; site: SiteProcesses}> {
  const platform = await startPlatform({
    workers,
    hosts: HOST_COUNT,
    capacity: CAPACITY,
    configuration: encodeConfiguration([DEFAULT_POLICY], 1),
    script: (job, runId) => {
      const step = job.steps[runId.step];
      return {step, workMillis: step.estimateMillis, fails: () => false};
    },
    ...overrides,
  });
  const site = await startSiteProcesses(
    platform,
    HOST_COUNT,
    PROGRAM,
    undefined,
    {nodeFlags: readDeployedFlags()},
  );
  for (const host of site.hosts) {
    await waitFor(
      async () => (await readReadiness(host)) === 200,
      TIMEOUT_MILLIS,
    );
  }
  return {platform, site};
}
