/* global Buffer, clearTimeout, performance, setTimeout */
// A small deployment for one case: the store, workers behind proxies, and hosts.
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {configurationOf} from './client.mjs';
import {CannotRun, findNetwork, startHosts, waitUntilReady} from './hosts.mjs';
import {startProxy} from './proxy.mjs';
import {startStore} from './store.mjs';
import {startWorker} from './worker.mjs';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_CANNOT_RUN = 2;
const STORE_PORT = 8169;
const WORKER_PORT = 8080;
const PROXY_PORT = 8081;
/** Capacity of a worker of the smallest deployment. */
export const CAPACITY = {cpu: 16_000, memory_request_mb: 32_768, gpu: 0};

/** Whether the case injects its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Starts the site of a case. */
async function startSite(
  {hosts, workers, queues, behaviour, workerDelayMillis},
  record,
) {
  const network = await findNetwork();
  const storeAddress = `${network}.100:${STORE_PORT}`;
  const store = await startStore(storeAddress, record);
  const configuration = JSON.stringify(configurationOf(queues));
  store.put('keyed.op', 'config', Buffer.from(configuration));
  const workerList = [];
  const proxies = [];
  for (let index = 0; index < workers; index++) {
    const ip = `${network}.${101 + index}`;
    const worker = await startWorker({
      id: `i-worker-${index}`,
      address: `${ip}:${WORKER_PORT}`,
      rack: `r-${index % 2}`,
      capacity: CAPACITY,
      store,
      behaviour,
      record,
    });
    const proxy = await startProxy(
      `${ip}:${PROXY_PORT}`,
      worker.address,
      workerDelayMillis,
    );
    worker.registeredAddress = proxy.address;
    worker.register();
    workerList.push(worker);
    proxies.push(proxy);
  }
  const site = await startHosts({network, count: hosts, storeAddress, record});
  return {
    ...site,
    store,
    workers: workerList,
    proxies,
    close: async () => {
      await site.close();
      workerList.forEach(worker => worker.close());
      proxies.forEach(proxy => proxy.close());
      store.close();
    },
  };
}

/**
 * Runs a case: starts the site, has `play` play it, which returns the lines that
 * say how the rule was broken, writes the record and exits with the result.
 */
export async function runCase({folder, site: options, play, limitMillis}) {
  const events = [];
  const startedAt = performance.now();
  const record = (event, detail = {}) => {
    const at = Math.round(performance.now() - startedAt);
    events.push({at, event, ...detail});
  };
  let site;
  let breaches = [];
  let status = EXIT_CANNOT_RUN;
  const timer = setTimeout(() => {
    record('time-is-up');
    void finish();
  }, limitMillis);

  async function finish() {
    clearTimeout(timer);
    await site?.close();
    const lines = events.map(each => JSON.stringify(each));
    const verdict =
      status === EXIT_CANNOT_RUN
        ? 'could not run'
        : breaches.length > 0
          ? `broken: ${breaches.length}`
          : 'held';
    const text = [`trouble: ${HAS_TROUBLE}`, verdict, ...breaches, ...lines];
    writeFileSync(join(folder, 'record.txt'), `${text.join('\n')}\n`);
    console.log([verdict, ...breaches.slice(0, 5)].join('\n'));
    process.exit(status);
  }

  process.once('SIGTERM', finish);
  process.once('SIGINT', finish);
  try {
    site = await startSite(options, record);
    await waitUntilReady(site.hosts);
    record('site-ready');
    breaches = await play({...site, record, events});
    status = breaches.length > 0 ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record('error', {error: String(error.stack)});
    console.log(error instanceof CannotRun ? error.message : error.stack);
  }
  await finish();
}

/**
 * Finds what breaks the rule TWICE: two runs of a task at the same time, or a start
 * after a run has ended `done` whose end is taken note of, if the lease of its
 * worker has not lapsed in between.
 */
export function findRunsTwice(events) {
  const breaches = [];
  const running = new Map();
  const done = new Map();
  const acknowledged = findEndsTakenNoteOf(events);
  for (const {at, event, worker, task, run, how} of events) {
    const runs = running.get(task) ?? new Map();
    if (event === 'run-started') {
      for (const [otherRun, otherWorker] of runs) {
        breaches.push(
          `TWICE: ${at} ms: run ${run} of ${task} starts on ${worker} while run` +
            ` ${otherRun} runs on ${otherWorker}`,
        );
      }
      const earlier = done.get(task);
      if (earlier !== undefined && acknowledged.has(`${task}#${earlier.run}`)) {
        breaches.push(
          `TWICE: ${at} ms: run ${run} of ${task} starts on ${worker} after run` +
            ` ${earlier.run} ended done on ${earlier.worker} at ${earlier.at} ms`,
        );
      }
      running.set(task, runs.set(run, worker));
    } else if (event === 'run-ended' || event === 'run-lost') {
      runs.delete(run);
      if (how === 'done') {
        done.set(task, {at, run, worker});
      }
    }
  }
  return breaches;
}

/** The runs whose end `done` was acknowledged before the lease of its worker lapsed. */
function findEndsTakenNoteOf(events) {
  const open = new Map();
  const acknowledged = new Set();
  for (const {event, worker, task, run, how} of events) {
    const key = `${task}#${run}`;
    if (event === 'run-ended' && how === 'done') {
      open.set(key, worker);
    } else if (event === 'lease-lapsed') {
      for (const [other, itsWorker] of [...open]) {
        if (itsWorker === worker) {
          open.delete(other);
        }
      }
    } else if (event === 'end-acknowledged' && open.has(key)) {
      acknowledged.add(key);
    }
  }
  return acknowledged;
}
