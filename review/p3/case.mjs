/* global performance, setTimeout */
// A worker's room shrinks while the partition of the worker registry is down.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {submit} from '../standins/client.mjs';
import {CAPACITY, HAS_TROUBLE, runCase} from '../standins/site.mjs';
import {sleep} from '../standins/store.mjs';

const DOWN_MILLIS = 6100;
/** `contact_ms` and one beat. */
const COUNTS_AFTER_MILLIS = 4000 + 1500;
const TASK_CPU = 2000;
const WORK_MILLIS = 30_000;
const SMALL = {...CAPACITY, cpu: 8000};

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  limitMillis: 110_000,
  site: {
    hosts: 3,
    workers: 1,
    queues: [{name: 'batch'}],
    behaviour: () => ({workMillis: WORK_MILLIS}),
  },
  play: async ({hosts, workers, store, record, events}) => {
    const [worker] = workers;
    const jobOf = count => ({
      specification: 'task',
      steps: [
        {
          count,
          cpu: TASK_CPU,
          memory_request_mb: 512,
          estimated_ms: WORK_MILLIS,
        },
      ],
    });
    await submit(hosts, 'batch', '0000000000000a01', jobOf(4), record);
    await sleep(3000);
    const shrunkAt = performance.now();
    let countsFrom = Infinity;
    if (HAS_TROUBLE) {
      const isWritten = worker.setCapacity(SMALL);
      store.setDown('keyed.servers', true);
      record('registry-down', {isWritten});
      countsFrom = shrunkAt + COUNTS_AFTER_MILLIS;
      setTimeout(() => store.setDown('keyed.servers', false), DOWN_MILLIS);
    }
    await sleep(COUNTS_AFTER_MILLIS + 100);
    record('counts', {from: Math.round(countsFrom)});
    const before = events.length;
    await submit(hosts, 'batch', '0000000000000a02', jobOf(2), record);
    await sleep(3000);
    const room = HAS_TROUBLE ? SMALL.cpu : CAPACITY.cpu;
    const used = worker.countRuns() * TASK_CPU;
    return events
      .slice(before)
      .filter(({event}) => event === 'run-started' && used > room)
      .map(
        ({at, task, worker: id}) =>
          `LIMIT: ${at} ms: ${task} starts on ${id}, which uses ${used} of ${room}`,
      );
  },
});
