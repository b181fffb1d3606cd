/* global setTimeout */
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
const ADDRESS = '127.0.0.1';
const JOB = 'c0ffee00000000a1';
const PATH = `/plans/${JOB}`;
const WORK_MILLIS = 4000;
/** Time from the start of a member to the crash of its worker. */
const CRASH_AFTER_MILLIS = 500;
const DOWN_MILLIS = 800;

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, onEnd}) => {
    const store = new Store();
    onEnd(() => store.close());
    const address = await store.listen(ADDRESS);
    store.put('keyed.op', 'config', configuration(7, [{name: 'plans'}]));

    /** Crashed workers under each task, and runs that ended `failed`. */
    const crashesByTask = new Map();
    let failedRuns = 0;
    let crashes = 0;
    const fleet = new Fleet({
      store,
      service: 'hub',
      describeTask: () => ({workMillis: WORK_MILLIS, members: 2}),
      onEvent: (event, worker, detail) => {
        record(`${worker.id} ${event} ${JSON.stringify(detail)}`);
        failedRuns += detail.how === 'failed' ? 1 : 0;
        if (event === 'crash') {
          for (const [task] of detail.runs) {
            crashesByTask.set(task, 1 + (crashesByTask.get(task) ?? 0));
          }
        }
        // The first run loses the worker of one member, the second that of the other.
        const victim = `${JOB}.0.0.${crashes}`;
        if (event === 'start' && hasTrouble && crashes < 2) {
          if (detail.task === victim) {
            setTimeout(() => {
              if (worker.runs.some(({task}) => task === victim)) {
                crashes++;
                void worker.crashFor(DOWN_MILLIS);
              }
            }, CRASH_AFTER_MILLIS);
          }
        }
      },
    });
    onEnd(() => fleet.close());
    for (let index = 0; index < WORKERS; index++) {
      await fleet.addWorker(`worker-${index}`, ADDRESS, {
        rack: `rack-${index % 2}`,
      });
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
    const job = {
      specification: 'a plan',
      steps: [
        {
          count: 2,
          cpu: 9000,
          memory_request_mb: 4000,
          estimated_ms: WORK_MILLIS,
          gang_scheduled: true,
        },
      ],
    };
    if (!(await submit(site, PATH, job, record))) {
      return 2;
    }
    let state = '';
    for (let second = 0; second < 60; second++) {
      await pause(1000);
      state = await readState(site.hosts[second % 3], PATH);
      record(`GET ${PATH}: ${state}`);
      if (state === 'failed' || state === 'completed') {
        break;
      }
    }
    const most = Math.max(0, ...crashesByTask.values());
    record(
      `crashes ${crashes}, most under one task ${most}, runs that ended failed ${failedRuns}`,
    );
    for (const {output} of site.hosts) {
      for (const line of output.match(/^.*event=(task-|job-).*$/gm) ?? []) {
        record(line);
      }
    }
    if (hasTrouble && crashes < 2) {
      return 2;
    }
    if (state === 'failed' && failedRuns === 0 && most < 2) {
      record('LOST: the job is shown as failed without cause');
      return 1;
    }
    return state === 'completed' ? 0 : 2;
  },
);
