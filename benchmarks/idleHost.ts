import {
  type SiteProcessHost,
  waitForHolder,
  waitFor,
} from '@samphireramp/testing';
import {readFileSync} from 'node:fs';
import {startBenchProcesses} from './startBenchProcesses';

/**
 * Measures processor time and memory of an idle holder and its followers, at
 * several numbers of workers. Run with `npm run bench:idle`.
 */

/** Wait after startup, so that the measurement leaves out startup work. */
const SETTLE_MILLIS = 5000;
/** Duration of one measurement. */
const MEASURE_MILLIS = 15_000;
/** Unit of the times in /proc/PID/stat on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;
const WORKER_COUNTS = [3, 10, 30];
const TIMEOUT_MILLIS = 20_000;

interface ProcessUsage {
  readonly processorMillis: number;
  readonly residentMegabytes: number;
  readonly privateMegabytes: number;
}

function readUsage({process: {pid}}: SiteProcessHost): ProcessUsage {
  const folder = `/proc/${pid}`;
  const stat = readFileSync(`${folder}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // User and system time: fields 14 and 15 of proc(5), counted from field 3 here.
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`${folder}/status`, 'utf8');
  const kilobytes = (name: string) =>
    Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0);
  return {
    processorMillis: (ticks * 1000) / CLOCK_TICKS_PER_SECOND,
    residentMegabytes: kilobytes('VmRSS') / 1024,
    privateMegabytes: kilobytes('RssAnon') / 1024,
  };
}

async function measure(workers: number): Promise<void> {
  const {platform, site} = await startBenchProcesses(workers);
  try {
    // A condition that never holds: waits for the whole time.
    await waitFor(() => false, SETTLE_MILLIS);
    const holder = await waitForHolder(site, TIMEOUT_MILLIS);
    const before = site.hosts.map(readUsage);
    await waitFor(() => false, MEASURE_MILLIS);
    const after = site.hosts.map(readUsage);
    site.hosts.forEach((host, index) => {
      const usedMillis =
        after[index].processorMillis - before[index].processorMillis;
      const pairs = [
        `workers=${workers}`,
        `host=${host.name}`,
        `holds=${host === holder}`,
        `core_percent=${((usedMillis / MEASURE_MILLIS) * 100).toFixed(2)}`,
        `resident_megabytes=${after[index].residentMegabytes.toFixed(1)}`,
        `private_megabytes=${after[index].privateMegabytes.toFixed(1)}`,
      ];
      process.stdout.write(`${pairs.join(' ')}\n`);
    });
  } finally {
    await site.stop();
    platform.stop();
  }
}

for (const workers of WORKER_COUNTS) {
  await measure(workers);
}
