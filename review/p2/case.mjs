/* global performance */
// A hold that got no answer is carried out late, by the next life of its worker.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {readState, submit} from '../standins/client.mjs';
import {CannotRun, findHolder} from '../standins/hosts.mjs';
import {HAS_TROUBLE, findRunsTwice, runCase} from '../standins/site.mjs';
import {sleep} from '../standins/store.mjs';

const FIRST_ID = '00000000000000d1';
const SECOND_ID = '00000000000000d2';
const WORK_MILLIS = 2000;
const DOWN_MILLIS = 1000;
const BACK_MILLIS = 2500;
const KILL_LEAD_MILLIS = 200;
const LATE_MILLIS = 100;
const TIMEOUT_MILLIS = 15_000;
const WATCH_MILLIS = 8000;

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  limitMillis: 110_000,
  site: {
    hosts: 3,
    workers: 1,
    queues: [{name: 'batch'}],
    behaviour: () => ({workMillis: WORK_MILLIS}),
  },
  play: async ({hosts, workers, kill, restart, record, events}) => {
    const step = {
      count: 1,
      cpu: 1000,
      memory_request_mb: 512,
      estimated_ms: WORK_MILLIS,
    };
    const job = {specification: 'receipt', steps: [step]};
    const [worker] = workers;
    await submit(hosts, 'batch', FIRST_ID, job, record);
    await waitForState(hosts[0], FIRST_ID, 'completed');
    await sleep(1000);
    if (HAS_TROUBLE) {
      let isFirst = true;
      worker.setLateHold(({ack_cursor: cursor}) => {
        const isLate = isFirst && cursor > 0;
        isFirst &&= !isLate;
        return isLate;
      });
      await waitFor(() => !isFirst);
      const isBack = worker.crash(DOWN_MILLIS);
      await isBack;
      await sleep(BACK_MILLIS);
    }
    await submit(hosts, 'batch', SECOND_ID, job, record);
    await waitFor(() => worker.countRuns() === 1);
    const [{startedAt}] = worker.runs();
    const untilEnd = startedAt + WORK_MILLIS - performance.now();
    await sleep(untilEnd - KILL_LEAD_MILLIS);
    if (HAS_TROUBLE) {
      const holder = await findHolder(hosts);
      await kill(holder);
      await waitFor(() => worker.countRuns() === 0);
      await sleep(LATE_MILLIS);
      await worker.carryOutLateHolds();
      restart(holder);
    }
    await sleep(WATCH_MILLIS);
    return findRunsTwice(events);
  },
});

async function waitForState(host, id, expected) {
  await waitFor(async () => (await readState(host, 'batch', id)) === expected);
}

async function waitFor(condition) {
  const deadline = performance.now() + TIMEOUT_MILLIS;
  while (performance.now() < deadline) {
    if (await condition()) {
      return;
    }
    await sleep(10);
  }
  throw new CannotRun('a step of the case did not come');
}
