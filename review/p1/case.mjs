/* global performance */
// An order to start that got no answer is carried out late: its worker and all hosts
// have lost power meanwhile, and the worker is back first.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {readState, submit} from '../standins/client.mjs';
import {CannotRun} from '../standins/hosts.mjs';
import {HAS_TROUBLE, findRunsTwice, runCase} from '../standins/site.mjs';
import {sleep} from '../standins/store.mjs';

const JOB_ID = '00000000000000c1';
const WORK_MILLIS = 1000;
/** From the acknowledged end of the task until the loss of power. */
const RUN_ON_MILLIS = 500;
/** The worker is down for this long, the hosts for that long. */
const WORKER_DOWN_MILLIS = 1000;
const HOSTS_DOWN_MILLIS = 4000;
/** From the return of the worker until the order is carried out. */
const LATE_MILLIS = 1500;
const TIMEOUT_MILLIS = 15_000;
const WATCH_MILLIS = 8000;

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  limitMillis: 110_000,
  site: {
    hosts: 3,
    workers: 7,
    queues: [{name: 'batch'}],
    behaviour: () => ({workMillis: WORK_MILLIS}),
  },
  play: async ({hosts, workers, kill, restart, record, events}) => {
    if (HAS_TROUBLE) {
      workers.forEach(worker => {
        let isFirst = true;
        worker.setLate(() => {
          const isLate = isFirst;
          isFirst = false;
          return isLate;
        });
      });
    }
    const step = {
      count: 1,
      cpu: 1000,
      memory_request_mb: 512,
      estimated_ms: WORK_MILLIS,
    };
    const job = {specification: 'receipt', steps: [step]};
    await submit(hosts, 'batch', JOB_ID, job, record);
    await waitForState(hosts[0], 'completed');
    const {worker: id} = events.find(({event}) => event === 'run-started');
    const worker = workers.find(each => each.id === id);
    await sleep(RUN_ON_MILLIS);
    if (HAS_TROUBLE) {
      worker.setLate(() => false);
      const isBack = worker.crash(WORKER_DOWN_MILLIS);
      const areBack = sleep(HOSTS_DOWN_MILLIS);
      await Promise.all(hosts.map(host => kill(host)));
      await isBack;
      await sleep(LATE_MILLIS);
      worker.carryOutLateStarts();
      await areBack;
      hosts.forEach(host => restart(host));
    }
    await sleep(WATCH_MILLIS);
    return findRunsTwice(events);
  },
});

async function waitForState(host, expected) {
  const deadline = performance.now() + TIMEOUT_MILLIS;
  while (performance.now() < deadline) {
    if ((await readState(host, 'batch', JOB_ID)) === expected) {
      return;
    }
    await sleep(50);
  }
  throw new CannotRun(`the job is not ${expected}`);
}
