/* global performance */
// More than 500 tasks end on a worker while its link is cut.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {readState, submit} from '../client.mjs';
import {CannotRun} from '../hosts.mjs';
import {HAS_TROUBLE, findRunsTwice, runCase} from '../site.mjs';
import {sleep} from '../store.mjs';

const JOBS = 12;
/** The widest step of the site file. */
const TASKS_PER_JOB = 60;
const TASKS = JOBS * TASKS_PER_JOB;
const JOB_IDS = Array.from({length: JOBS}, (_, index) =>
  (index + 16).toString(16).padStart(16, '0'),
);
const WORK_MILLIS = 6000;
/** The cut begins this long before the first task ends. */
const CUT_LEAD_MILLIS = 200;
/** Shorter than the 5.5 s of the site file, and than a lease. */
const CUT_MILLIS = 3500;
/** One way between two regions, as in the site file. */
const CROSS_REGION_MILLIS = 20;
const START_TIMEOUT_MILLIS = 15_000;
const END_TIMEOUT_MILLIS = 30_000;

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  limitMillis: 110_000,
  site: {
    hosts: 3,
    workers: 6,
    queues: [{name: 'batch'}],
    workerDelayMillis: CROSS_REGION_MILLIS,
    behaviour: () => ({workMillis: WORK_MILLIS}),
  },
  play: async ({hosts, workers, proxies, record, events}) => {
    const step = {
      count: TASKS_PER_JOB,
      cpu: 20,
      memory_request_mb: 20,
      estimated_ms: WORK_MILLIS,
    };
    const job = {specification: 'small tasks', steps: [step]};
    await Promise.all(
      JOB_IDS.map(id => submit(hosts, 'batch', id, job, record)),
    );
    const index = await waitForRuns(workers);
    const worker = workers[index];
    const firstStart = Math.min(
      ...worker.runs().map(({startedAt}) => startedAt),
    );
    await sleep(firstStart + WORK_MILLIS - CUT_LEAD_MILLIS - performance.now());
    if (HAS_TROUBLE) {
      record('cut', {worker: worker.id, leaseLeft: worker.leaseLeftMillis()});
      proxies[index].cut();
    }
    await sleep(CUT_MILLIS);
    record('heal', {
      worker: worker.id,
      leaseLeft: worker.leaseLeftMillis(),
      running: worker.countRuns(),
    });
    proxies[index].heal();
    await waitForEnd(hosts[0], record);
    await sleep(2000);
    return findRunsTwice(events);
  },
});

/** Waits until one worker runs all tasks; returns its index. */
async function waitForRuns(workers) {
  const deadline = performance.now() + START_TIMEOUT_MILLIS;
  while (performance.now() < deadline) {
    const index = workers.findIndex(each => each.countRuns() === TASKS);
    if (index >= 0) {
      return index;
    }
    await sleep(20);
  }
  throw new CannotRun('the tasks did not start on one worker');
}

async function waitForEnd(host, record) {
  const deadline = performance.now() + END_TIMEOUT_MILLIS;
  for (const id of JOB_IDS) {
    let state = '';
    while (performance.now() < deadline && state !== 'completed') {
      await sleep(100);
      state = await readState(host, 'batch', id);
    }
    record('state', {id, state});
  }
}
