import {
  type SiteProcessHost,
  buildJob,
  buildPolicy,
  buildStep,
  encodeConfiguration,
  submitAt,
  waitFor,
  waitForHolder,
} from '@samphireramp/testing';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startBenchProcesses} from './startBenchProcesses';

/**
 * Hands in many small tasks at once, for which the workers have room, and measures
 * what they cost the holder: memory at its peak, the longest time for which its
 * loop is blocked (and the most processor time that a block takes, which other
 * load on the machine doesn't change), processor time for each task. Run with `npm run bench:wide`;
 * arguments such as 100x60 (jobs x tasks) replace the measured loads.
 */

const LOADS = ['1x1000', '1x2000', '1x5000', '1x10000', '100x100', '300x60'];
const WORKER_COUNT = 33;
const CAPACITY = {cpuMillis: 16_000, memoryMegabytes: 32_768, accelerators: 0};
const NEED = {cpuMillis: 20, memoryMegabytes: 20, accelerators: 0};
const WORK_MILLIS = 5000;
/** Jobs that are handed in at the same time; the others wait for their answers. */
const PARALLEL_SUBMITS = 20;
const SETTLE_MILLIS = 1500;
const TIMEOUT_MILLIS = 120_000;
/** Unit of the times in `/proc/PID/stat`. */
const MILLIS_PER_CLOCK_TICK = 10;
const POLICY = buildPolicy({priority: 1});
const PROBE = new URL('loopProbe.mjs', import.meta.url).pathname;

/** What the process of a host has used so far. */
function usageOf({process: {pid}}: SiteProcessHost) {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    cpuMillis:
      (Number(fields[11]) + Number(fields[12])) * MILLIS_PER_CLOCK_TICK,
    peakMegabytes: Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024,
  };
}

function hasEnded({process: {exitCode, signalCode}}: SiteProcessHost): boolean {
  return exitCode !== null || signalCode !== null;
}

/** Reads the longest blocks of a loop, by duration and by processor time. */
function longestBlocks(probeFile: string, since: number) {
  const text = existsSync(probeFile) ? readFileSync(probeFile, 'utf8') : '';
  const blocks = text
    .split('\n')
    .map(line => line.split(' ').map(Number))
    .filter(([at]) => at >= since);
  return {
    millis: Math.max(0, ...blocks.map(([, millis]) => millis)),
    cpuMillis: Math.max(
      0,
      ...blocks.map(([, millis, used]) => Math.min(millis, used)),
    ),
  };
}

async function submitAll(
  submit: (index: number) => Promise<unknown>,
  jobs: number,
): Promise<void> {
  let next = 0;
  const submitNext = async () => {
    while (next < jobs) {
      await submit(next++);
    }
  };
  await Promise.all(Array.from({length: PARALLEL_SUBMITS}, submitNext));
}

async function measure(load: string, probeFolder: string): Promise<void> {
  const [jobs, tasks] = load.split('x').map(Number);
  let starts = 0;
  const {platform, site} = await startBenchProcesses(WORKER_COUNT, {
    capacity: CAPACITY,
    configuration: encodeConfiguration([POLICY], 1),
    script: (job, runId) => {
      starts++;
      const step = job.steps[runId.step];
      return {step, workMillis: WORK_MILLIS, fails: () => false};
    },
  });
  const holder = await waitForHolder(site, TIMEOUT_MILLIS);
  if (holder === undefined) {
    throw new Error('no host holds the site');
  }
  const probeFile = join(probeFolder, String(holder.process.pid));
  const follower = site.hosts.find(host => host !== holder) ?? holder;
  await new Promise(resolve => {
    setTimeout(resolve, SETTLE_MILLIS);
  });
  const before = usageOf(holder);
  const submittedAt = Date.now();
  const startedAt = performance.now();
  const step = buildStep({
    count: tasks,
    need: NEED,
    estimateMillis: WORK_MILLIS,
  });
  await submitAll(
    index =>
      submitAt(
        platform,
        follower.callerAddress,
        buildJob(index.toString(16).padStart(16, '0'), [step], {
          policy: POLICY,
        }),
      ),
    jobs,
  );
  const isPlaced = await waitFor(
    async () => starts >= jobs * tasks || hasEnded(holder),
    TIMEOUT_MILLIS,
  );
  const placedMillis = performance.now() - startedAt;
  const isDone = await waitFor(
    async () =>
      platform.workers.every(worker => worker.countRuns() === 0) ||
      hasEnded(holder),
    TIMEOUT_MILLIS,
  );
  const after = hasEnded(holder) ? undefined : usageOf(holder);
  const blocks = longestBlocks(probeFile, submittedAt);
  const fields = {
    load,
    holder: after ? 'up' : 'ended-by-itself',
    started: starts,
    violations: platform.checker.violations.length,
    placed_millis: isPlaced ? Math.round(placedMillis) : '-',
    done_millis: isDone ? Math.round(performance.now() - startedAt) : '-',
    peak_megabytes: after ? Math.round(after.peakMegabytes) : '-',
    longest_block_millis: blocks.millis,
    longest_block_cpu_millis: blocks.cpuMillis,
    cpu_millis_each: after
      ? ((after.cpuMillis - before.cpuMillis) / (jobs * tasks)).toFixed(2)
      : '-',
  };
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
  await site.stop();
  platform.stop();
}

const probeFolder = mkdtempSync(join(tmpdir(), 'samphireramp-probe-'));
process.env.LOOP_PROBE_FOLDER = probeFolder;
process.env.NODE_OPTIONS = `--import=${PROBE}`;
const loads = process.argv.slice(2);
for (const load of loads.length > 0 ? loads : LOADS) {
  await measure(load, probeFolder);
}
rmSync(probeFolder, {recursive: true});
process.exit(0);
