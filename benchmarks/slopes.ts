import {buildJob, buildStep} from '@samphireramp/testing';
import type {Job} from '@samphireramp/jobs';
import {BENCH_POLICY, createBenchSite} from './createBenchSite';

/**
 * Measures how cost grows with workers and jobs, without I/O: time for each
 * start, heap for each waiting job, journal bytes for each job, time of a pass on
 * a full site. Run with `npm run bench:slopes`.
 */

const WORKER_COUNTS = [30, 60, 246, 1000];
/** Number of jobs, each with one start, for each number of workers. */
const START_COUNT = 2000;
/** Number of jobs that are submitted at once. */
const BURST_SIZE = 40;
const WAITING_JOB_COUNTS = [1000, 5000, 20_000];
/** Workers and waiting jobs of a site on which nothing more fits. */
const FULL_SITES = [
  [60, 100],
  [246, 100],
  [1000, 100],
  [246, 400],
  [246, 1600],
] as const;
/** Number of passes that are timed. */
const PASS_COUNT = 200;
const NEED = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 0};

let createdJobCount = 0;

function createJobs(count: number): Job[] {
  return Array.from({length: count}, () =>
    buildJob(
      (createdJobCount++).toString(16).padStart(16, '0'),
      [buildStep({need: NEED})],
      {policy: BENCH_POLICY},
    ),
  );
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function printFields(fields: Record<string, string | number>): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
}

/** Submits jobs of one task in bursts, and starts and ends their runs. */
function measureStarts(workers: number): void {
  const site = createBenchSite(workers);
  const bursts = START_COUNT / BURST_SIZE;
  const startedAt = performance.now();
  for (let burst = 0; burst < bursts; burst++) {
    site.submitJobs(createJobs(BURST_SIZE));
    site.placeTasks();
    site.endAllRuns();
  }
  const millis = performance.now() - startedAt;
  printFields({
    measure: 'starts',
    workers,
    ordered: site.countStarts(),
    millis_each: (millis / START_COUNT).toFixed(3),
    journal_bytes_each: Math.round(site.journalBytes() / START_COUNT),
  });
}

/** Submits jobs to a site without workers, so that all of them wait. */
function measureWaiting(jobs: number): void {
  const site = createBenchSite(0);
  const waitingJobs = createJobs(jobs);
  const heapBefore = heapBytes();
  const startedAt = performance.now();
  site.submitJobs(waitingJobs);
  const submittedAt = performance.now();
  site.placeTasks();
  const placedAt = performance.now();
  printFields({
    measure: 'waiting',
    jobs,
    heap_bytes_each: Math.round((heapBytes() - heapBefore) / jobs),
    take_millis: (submittedAt - startedAt).toFixed(1),
    pass_millis: (placedAt - submittedAt).toFixed(1),
  });
}

/** Times passes on a site that is full, with jobs that wait for room. */
function measureFullSite(workers: number, waitingJobs: number): void {
  const site = createBenchSite(workers);
  const needAll = {cpuMillis: 30_000, memoryMegabytes: 60_000, accelerators: 0};
  const jobs = Array.from({length: workers + waitingJobs}, () =>
    buildJob(
      (createdJobCount++).toString(16).padStart(16, '0'),
      [buildStep({need: needAll})],
      {policy: BENCH_POLICY},
    ),
  );
  for (let first = 0; first < jobs.length; first += BURST_SIZE) {
    site.submitJobs(jobs.slice(first, first + BURST_SIZE));
    site.placeTasks();
  }
  const times = Array.from({length: PASS_COUNT}, () => site.timePass());
  times.sort((a, b) => a - b);
  printFields({
    measure: 'full_site',
    workers,
    waiting_jobs: waitingJobs,
    started: site.countStarts(),
    pass_millis: times[PASS_COUNT / 2].toFixed(2),
  });
}

WORKER_COUNTS.forEach(measureStarts);
WAITING_JOB_COUNTS.forEach(measureWaiting);
FULL_SITES.forEach(([workers, jobs]) => measureFullSite(workers, jobs));
