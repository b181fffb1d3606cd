/* global performance */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Site,
  call,
  configuration,
  pause,
  readState,
  runCase,
} from '../stand-ins-2/site.mjs';
import {Store} from '../stand-ins-2/store.mjs';
import {Fleet} from '../stand-ins-2/workers.mjs';

const WORKERS = 16;
const ADDRESS = '127.0.0.1';
const WORK_MILLIS = 500;
const JOBS = 40;
const JOB_INTERVAL_MILLIS = 200;
/** The machine of one worker loses power after so many jobs. */
const DARK_AFTER_JOBS = 30;
/** `finish_s`: so long after the end of the traffic jobs are asked for. */
const FINISH_MILLIS = 14_000;
/** A job may have nothing running for less than this. */
const IDLE_MILLIS = 3000;
const WATCH_MILLIS = 20_000;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, onEnd, hasTrouble}) => {
    const store = new Store();
    onEnd(() => store.close());
    const address = await store.listen(ADDRESS);
    store.put('keyed.op', 'config', configuration(7, [{name: 'checks'}]));
    /** Ids of jobs whose task has ended `done`. */
    const done = new Set();
    const fleet = new Fleet({
      store,
      service: 'hub',
      describeTask: () => ({workMillis: WORK_MILLIS}),
      onEvent: (event, worker, detail) => {
        if (detail.url !== '/api/hold') {
          record(`${worker.id} ${event} ${JSON.stringify(detail)}`);
        }
        if (detail.how === 'done') {
          done.add(detail.task.split('.')[0]);
        }
      },
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

    const accepted = [];
    for (let index = 0; index < JOBS; index++) {
      const id = (0xe1_0000 + index).toString(16).padStart(16, '0');
      const content = {
        specification: `check ${index}`,
        steps: [
          {
            count: 2,
            cpu: 1400,
            memory_request_mb: 2000,
            estimated_ms: WORK_MILLIS,
          },
        ],
      };
      const path = `/checks/${id}`;
      void call(site.hosts[index % 3].frontend, 'POST', path, {content}).then(
        ({status}) => {
          if (status === 200) {
            accepted.push({id, path});
          } else {
            record(`POST ${path}: ${status}`);
          }
        },
      );
      if (index === DARK_AFTER_JOBS && hasTrouble) {
        const busiest = fleet.workers.reduce((most, worker) =>
          worker.runs.length > most.runs.length ? worker : most,
        );
        busiest.goDark();
      }
      await pause(JOB_INTERVAL_MILLIS);
    }
    record(`the traffic ends; ${accepted.length} of ${JOBS} jobs accepted`);
    await pause(FINISH_MILLIS);

    const idleSince = new Map();
    const broken = new Set();
    const endAt = performance.now() + WATCH_MILLIS;
    while (performance.now() < endAt) {
      const running = new Set(
        fleet.workers.flatMap(({runs}) =>
          runs.map(({task}) => task.split('.')[0]),
        ),
      );
      for (const {id, path} of accepted) {
        const state = done.has(id)
          ? await readState(site.hosts[0], path)
          : 'open';
        if (state === 'completed' || running.has(id)) {
          idleSince.delete(id);
          continue;
        }
        const now = performance.now();
        const since = idleSince.get(id) ?? now;
        idleSince.set(id, since);
        if (now - since >= IDLE_MILLIS && !broken.has(id)) {
          broken.add(id);
          const shown = await readState(site.hosts[1], path);
          record(`LOST: ${path} has nothing running; it is shown as ${shown}`);
        }
      }
      if (idleSince.size === 0) {
        break;
      }
      await pause(50);
    }
    record(`${broken.size} jobs had nothing running for ${IDLE_MILLIS} ms`);
    if (broken.size > 0) {
      return 1;
    }
    return accepted.length > JOBS / 2 && idleSince.size === 0 ? 0 : 2;
  },
);
