/* global performance */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Site,
  configuration,
  pause,
  readState,
  runCase,
  submit,
} from '../site-2.mjs';
import {Store} from '../store-2.mjs';
import {Fleet} from '../workers-2.mjs';

const WORKERS = 8;
const WORKER_CPU = 16_000;
const ADDRESS = '127.0.0.1';
const SERVICE_PATH = '/plans/c0ffee00000000b1';
const GANG_PATH = '/plans/c0ffee00000000b2';
const GANG_TASKS = 24;
const GANG_WORK_MILLIS = 4200;
const JOBS = 10;
const JOB_CPU = 2900;
const JOB_TASKS = 4;
const JOB_WORK_MILLIS = 1900;
const JOB_INTERVAL_MILLIS = 500;
/** `finish_s`: so long after the end of the traffic jobs are asked for. */
const FINISH_MILLIS = 14_000;
/** A job may have nothing running for less than this. */
const IDLE_MILLIS = 3000;
const WATCH_MILLIS = 40_000;

/** The job whose task a name is of. */
function jobOf(task) {
  return task.split('.')[0];
}

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, onEnd}) => {
    const store = new Store();
    onEnd(() => store.close());
    const address = await store.listen(ADDRESS);
    store.put(
      'keyed.op',
      'config',
      configuration(7, [
        {name: 'plans', priority: 1},
        {name: 'stock', priority: 2},
      ]),
    );
    const fleet = new Fleet({
      store,
      service: 'hub',
      describeTask: task => {
        if (SERVICE_PATH.endsWith(jobOf(task))) {
          return {workMillis: Infinity};
        }
        return GANG_PATH.endsWith(jobOf(task))
          ? {workMillis: GANG_WORK_MILLIS, members: GANG_TASKS}
          : {workMillis: JOB_WORK_MILLIS};
      },
      onEvent: (event, worker, detail) =>
        record(`${worker.id} ${event} ${JSON.stringify(detail)}`),
    });
    onEnd(() => fleet.close());
    for (let index = 0; index < WORKERS; index++) {
      await fleet.addWorker(`worker-${index}`, ADDRESS);
    }
    const site = new Site({store: address, advice: `${ADDRESS}:9`, record});
    onEnd(() => site.stop());
    for (const [index, zone] of ['zone-a', 'zone-b', 'zone-c'].entries()) {
      await site.addHost(`host-${index}`, zone);
    }
    if (!(await site.waitUntilReady())) {
      record('the hosts did not become ready');
      return 2;
    }
    await pause(3000);

    const service = {
      specification: 'a service',
      steps: [
        {count: 1, cpu: 4000, memory_request_mb: 2000, long_running: true},
      ],
    };
    const gang = {
      specification: 'an all-at-once job',
      steps: [
        {
          count: GANG_TASKS,
          cpu: 4200,
          memory_request_mb: 3000,
          estimated_ms: GANG_WORK_MILLIS,
          gang_scheduled: true,
        },
      ],
    };
    const batch = {
      specification: 'batch work',
      steps: [
        {
          count: JOB_TASKS,
          cpu: JOB_CPU,
          memory_request_mb: 1400,
          estimated_ms: JOB_WORK_MILLIS,
        },
      ],
    };
    if (!(await submit(site, SERVICE_PATH, service, record))) {
      return 2;
    }
    await pause(1000);
    if (hasTrouble && !(await submit(site, GANG_PATH, gang, record))) {
      return 2;
    }
    await pause(1000);
    const paths = [];
    for (let index = 0; index < JOBS; index++) {
      const path = `/stock/c0ffee00000001${index.toString(16).padStart(2, '0')}`;
      if (!(await submit(site, path, batch, record))) {
        return 2;
      }
      paths.push(path);
      await pause(JOB_INTERVAL_MILLIS);
    }
    record('the traffic ends');
    await pause(FINISH_MILLIS);

    const idleSince = new Map();
    const broken = new Set();
    const endAt = performance.now() + WATCH_MILLIS;
    while (performance.now() < endAt) {
      const runs = fleet.workers.flatMap(worker => worker.runs);
      const running = new Set(runs.map(({task}) => jobOf(task)));
      // Only the service runs: each worker but one is empty.
      const isSiteFree = runs.length <= 1;
      for (const path of paths) {
        const state = await readState(site.hosts[0], path);
        if (
          state === 'completed' ||
          running.has(path.split('/').at(-1)) ||
          !isSiteFree
        ) {
          idleSince.delete(path);
          continue;
        }
        const now = performance.now();
        const since = idleSince.get(path) ?? now;
        idleSince.set(path, since);
        if (now - since >= IDLE_MILLIS && !broken.has(path)) {
          broken.add(path);
          record(
            `LOST: ${path}, ${state}, has nothing running; ` +
              `${runs.length} task at work on ${WORKERS} workers of ${WORKER_CPU}`,
          );
        }
      }
      if (idleSince.size === 0) {
        break;
      }
      await pause(100);
    }
    for (const path of [SERVICE_PATH, ...paths]) {
      record(`GET ${path}: ${await readState(site.hosts[1], path)}`);
    }
    for (const {output} of site.hosts) {
      for (const line of (output.match(/^.*step-waits.*$/gm) ?? []).slice(-4)) {
        record(line);
      }
    }
    return broken.size > 0 ? 1 : 0;
  },
);
