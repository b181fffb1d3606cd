import type {Job} from '@samphireramp/jobs';
import {
  buildAccount,
  buildJob,
  buildPolicy,
  buildStep,
} from '@samphireramp/testing';
import {createBenchSite} from './createBenchSite';

/**
 * Measures placement passes of a site with client accounts, without I/O: their time,
 * and the heap of each waiting job. The waiting steps lack free workers (`full`), or
 * their accounts are at their limits while workers are free (`limits`). In each pass
 * nothing can be placed. Run with `npm run bench:accounts`.
 */

const ACCOUNTS = 100;
const WORKERS = 400;
const WAITING_STEPS = 10_000;
/** [accounts, workers, waiting steps] of each measurement; each grows by itself. */
const SIZES: ReadonlyArray<readonly [number, number, number]> = [
  [ACCOUNTS, WORKERS, 1000],
  [ACCOUNTS, WORKERS, 3000],
  [ACCOUNTS, WORKERS, WAITING_STEPS],
  [ACCOUNTS, WORKERS, 3 * WAITING_STEPS],
  [10, WORKERS, WAITING_STEPS],
  [10 * ACCOUNTS, WORKERS, WAITING_STEPS],
  [ACCOUNTS, 100, WAITING_STEPS],
  [ACCOUNTS, 1600, WAITING_STEPS],
];
const PASSES = 40;
const NEED = {cpuMillis: 4000, memoryMegabytes: 1000, accelerators: 0};
/** CPU that an account may use if the accounts are at their limits. */
const LIMIT = 2 * NEED.cpuMillis;
const POLICY = buildPolicy({priority: 2});

let createdJobCount = 0;

function createJobs(count: number, accounts: number, tasks: number): Job[] {
  return Array.from({length: count}, (_, index) =>
    buildJob(
      (createdJobCount++).toString(16).padStart(16, '0'),
      [buildStep({need: NEED, count: tasks})],
      {
        policy: POLICY,
        account: `account-${index % accounts}`,
        receivedAt: Date.now(),
      },
    ),
  );
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measure(
  state: 'full' | 'limits',
  [accounts, workers, waiting]: readonly [number, number, number],
): void {
  const limit = state === 'full' ? {} : {cpuMillis: LIMIT};
  const site = createBenchSite(
    workers,
    [POLICY],
    Array.from({length: accounts}, (_, index) =>
      buildAccount(`account-${index}`, limit, 10),
    ),
  );
  // These fill the site, or the accounts up to their limits.
  const fillers = state === 'full' ? workers : accounts;
  site.submitJobs(createJobs(fillers, accounts, 8));
  site.placeTasks();
  const startsBefore = site.countStarts();
  const waitingJobs = createJobs(waiting, accounts, 1);
  const heapBefore = heapBytes();
  const takenAt = performance.now();
  site.submitJobs(waitingJobs);
  const takeMillis = performance.now() - takenAt;
  const times = Array.from({length: PASSES}, () => site.timePass());
  const heapEach = Math.round((heapBytes() - heapBefore) / waiting);
  times.sort((a, b) => a - b);
  const fields = {
    measure: 'account-passes',
    state,
    accounts,
    workers,
    waiting,
    running: startsBefore,
    started: site.countStarts() - startsBefore,
    median_millis: times[PASSES / 2].toFixed(1),
    max_millis: times[PASSES - 1].toFixed(1),
    take_millis: takeMillis.toFixed(0),
    heap_bytes_each: heapEach,
  };
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
}

for (const state of ['full', 'limits'] as const) {
  SIZES.forEach(size => measure(state, size));
}
