import {
  DEFAULT_POLICY,
  buildJob,
  buildStep,
  submitAt,
  waitForHolder,
} from '@samphireramp/testing';
import {readFileSync} from 'node:fs';
import {startBenchProcesses} from './startBenchProcesses';

/**
 * Measures the processor time of the holder for each started task while jobs
 * arrive steadily. Run with `npm run bench:holder`; with a first argument, that
 * many workers.
 */

const WORKER_COUNT = Number(process.argv[2] ?? 60);
const JOBS_PER_SECOND = 40;
const TASKS_PER_JOB = 3;
const LOAD_MILLIS = 15_000;
const HOLDER_TIMEOUT_MILLIS = 20_000;
/** Unit of the times in `/proc/PID/stat`. */
const MILLIS_PER_CLOCK_TICK = 10;
const STEPS = [buildStep({count: TASKS_PER_JOB, estimateMillis: 300})];

/** Returns the processor time that a process has used so far. */
function cpuMillis(pid: number | undefined): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MILLIS_PER_CLOCK_TICK;
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}

const {platform, site} = await startBenchProcesses(WORKER_COUNT);
const holder = await waitForHolder(site, HOLDER_TIMEOUT_MILLIS);
if (holder === undefined) {
  throw new Error('no host holds the site');
}
const followers = site.hosts.filter(host => host !== holder);
await sleep(3000);
const before = site.hosts.map(({process}) => cpuMillis(process.pid));
const startedAt = performance.now();
let jobs = 0;
while (performance.now() - startedAt < LOAD_MILLIS) {
  const id = (++jobs).toString(16).padStart(16, '0');
  const job = buildJob(id, STEPS, {policy: DEFAULT_POLICY});
  const {callerAddress} = followers[jobs % followers.length];
  void submitAt(platform, callerAddress, job);
  await sleep(1000 / JOBS_PER_SECOND);
}
await sleep(2000);
const seconds = (performance.now() - startedAt) / 1000;
const starts = jobs * TASKS_PER_JOB;
site.hosts.forEach((host, index) => {
  const used = cpuMillis(host.process.pid) - before[index];
  const fields = {
    host: host.name,
    role: host === holder ? 'holder' : 'follower',
    workers: WORKER_COUNT,
    starts_per_second: (starts / seconds).toFixed(0),
    cpu_share: (used / 1000 / seconds).toFixed(3),
    cpu_millis_per_start: (used / starts).toFixed(2),
  };
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
});
holder.process.kill('SIGTERM');
await holder.ended;
await site.stop();
platform.stop();
process.exit(0);
