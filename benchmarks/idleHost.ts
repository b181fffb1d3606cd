import {readFileSync} from 'node:fs';
import {
  type Site,
  type SiteHost,
  readHostStatus,
  startSite,
  waitFor,
} from '@samphireramp/testing';

/**
 * What an idle entry host costs: memory, processor time and bytes, at several
 * numbers of workers. Run with `npm run bench:idle -- [runtime flags]` after `npm run build`.
 */

const SETTLE_MILLIS = 8000;
const WINDOW_MILLIS = 20_000;
const CLOCK_TICKS_A_SECOND = 100;
const SIZES = [3, 10, 30];

interface Usage {
  readonly processorMillis: number;
  readonly residentMegabytes: number;
  readonly privateMegabytes: number;
}

function readUsage(host: SiteHost): Usage {
  const folder = `/proc/${host.process.pid}`;
  const stat = readFileSync(`${folder}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`${folder}/status`, 'utf8');
  const kilobytes = (name: string) =>
    Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0);
  return {
    processorMillis: (ticks * 1000) / CLOCK_TICKS_A_SECOND,
    residentMegabytes: kilobytes('VmRSS') / 1024,
    privateMegabytes: kilobytes('RssAnon') / 1024,
  };
}

/** Bytes over loopback so far, with all headers, of everything here. */
function readLoopbackBytes(): number {
  const lines = readFileSync('/proc/net/dev', 'utf8').split('\n');
  const line = lines.find(item => item.trim().startsWith('lo:')) ?? '';
  return Number(line.split(':')[1]?.trim().split(/\s+/)[0] ?? 0);
}

/** Whether a host holds the shard of the zone. */
async function isHolder(host: SiteHost): Promise<boolean> {
  const page = await readHostStatus(host.statusAddress);
  return (page['holding'] as string[]).length > 0;
}

async function measure(workersInZone: number): Promise<void> {
  const site: Site = await startSite({
    zones: ['tema'],
    hostsInZone: 3,
    workersInZone,
    programs: 'dist',
    runtimeFlags: process.argv.slice(2),
  });
  try {
    await site.command(
      'apply',
      site.declarationFile,
      `--log-url=${site.logUrl}`,
      ...site.hosts.map(host => `--host=${host.statusAddress}`),
    );
    await waitFor(() => false, SETTLE_MILLIS);
    const before = site.hosts.map(readUsage);
    const bytesBefore = readLoopbackBytes();
    await waitFor(() => false, WINDOW_MILLIS);
    const after = site.hosts.map(readUsage);
    const bytes = readLoopbackBytes() - bytesBefore;
    const holding = await Promise.all(site.hosts.map(isHolder));
    site.hosts.forEach((host, index) => {
      const spent =
        after[index].processorMillis - before[index].processorMillis;
      process.stdout.write(
        [
          `workers=${workersInZone}`,
          `host=${host.name}`,
          `holds=${holding[index]}`,
          `core_percent=${((spent / WINDOW_MILLIS) * 100).toFixed(2)}`,
          `resident_megabytes=${after[index].residentMegabytes.toFixed(1)}`,
          `private_megabytes=${after[index].privateMegabytes.toFixed(1)}`,
        ].join(' ') + '\n',
      );
    });
    const aSecond = bytes / (WINDOW_MILLIS / 1000);
    process.stdout.write(
      `workers=${workersInZone} site_bytes_a_second=${Math.round(aSecond)} for_each_host=${Math.round(aSecond / site.hosts.length)}\n`,
    );
  } finally {
    await site.stop();
  }
}

for (const size of SIZES) {
  await measure(size);
}
