/* global performance, setInterval, setTimeout */
// One job of many small tasks, for which the workers have room.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {readState, submit} from '../client.mjs';
import {CAPACITY, HAS_TROUBLE, runCase} from '../site.mjs';
import {sleep} from '../store.mjs';

/** The program accepts up to so many tasks in a step. */
const WIDE_COUNT = 10_000;
/** Delay after which the platform starts a process again that has ended. */
const RESTART_MILLIS = 500;
/** Ends of a process by itself in a day that make a fault, on two machines. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;
const WIDE_ID = '00000000000000dd';
const SMALL_JOBS = 10;
const SMALL_JOB_INTERVAL_MILLIS = 500;
const WORK_MILLIS = 1000;
/** Bounds of the rule LOST in the site file. */
const FINISH_MILLIS = 14_000;
const IDLE_MILLIS = 3000;
const CHECK_MILLIS = 50;

const small = {
  specification: 'small',
  steps: [
    {
      count: 2,
      cpu: 1000,
      memory_request_mb: 512,
      estimated_ms: WORK_MILLIS,
    },
  ],
};
const wide = {
  specification: 'wide',
  steps: [
    {
      count: WIDE_COUNT,
      cpu: 50,
      memory_request_mb: 50,
      estimated_ms: WORK_MILLIS,
    },
  ],
};

const idOf = index => (index + 16).toString(16).padStart(16, '0');

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  limitMillis: 110_000,
  site: {
    hosts: 3,
    workers: 33,
    queues: [{name: 'batch', priority: 2}],
    behaviour: () => ({workMillis: WORK_MILLIS}),
  },
  play: async ({hosts, workers, restart, record, events}) => {
    keepRunning(hosts, restart);
    await submit(hosts, 'batch', idOf(0), small, record);
    await sleep(3000);
    if (HAS_TROUBLE) {
      await submit(hosts, 'batch', WIDE_ID, wide, record);
    }
    const accepted = [];
    for (let index = 1; index <= SMALL_JOBS; index++) {
      if (await submit(hosts, 'batch', idOf(index), small, record)) {
        accepted.push(idOf(index));
      }
      await sleep(SMALL_JOB_INTERVAL_MILLIS);
    }
    record('end-of-traffic');
    await sleep(FINISH_MILLIS);
    const running = await sampleRuns(workers);
    record('sampled', {jobs: [...running.jobIds], mostCpu: running.mostCpu});
    const done = findCompleted(events);
    const breaches = [];
    for (const id of accepted) {
      const state = await readState(hosts[0], 'batch', id);
      record('state', {id, state, tasksDone: done.get(id) ?? 0});
      const isOpen = (done.get(id) ?? 0) < small.steps[0].count;
      if (isOpen && running.hasRoom && !running.jobIds.has(id)) {
        breaches.push(
          `LOST: accepted job ${id} (answer ${state}) has open tasks` +
            ` ${FINISH_MILLIS} ms after the end of the traffic, and for` +
            ` ${IDLE_MILLIS} ms nothing of it ran, with room for it`,
        );
      }
    }
    const ends = countOwnEnds(events);
    record('own-ends', Object.fromEntries(ends));
    const faulty = [...ends].filter(([, count]) => count >= FAULT_ENDS);
    if (faulty.length >= FAULT_MACHINES) {
      breaches.push(
        `Fault: processes ended by themselves: ${faulty
          .map(([host, count]) => `${host} ${count} times`)
          .join(', ')}`,
      );
    }
    return breaches;
  },
});

/** Starts each host again whose process ends. */
function keepRunning(hosts, restart) {
  const timer = setInterval(() => {
    for (const host of hosts) {
      if (!host.isRunning && !host.isStarting) {
        host.isStarting = true;
        setTimeout(() => {
          host.isStarting = false;
          restart(host);
        }, RESTART_MILLIS);
      }
    }
  }, CHECK_MILLIS);
  timer.unref();
}

/** Counts the tasks that ended `done`, by job. */
function findCompleted(events) {
  const done = new Map();
  for (const {event, task, how} of events) {
    if (event === 'run-ended' && how === 'done') {
      const [id] = task.split('.');
      done.set(id, (done.get(id) ?? 0) + 1);
    }
  }
  return done;
}

/** Counts the ends of processes, none of which this case killed, by host. */
function countOwnEnds(events) {
  const ends = new Map();
  for (const {event, host} of events) {
    if (event === 'host-ended') {
      ends.set(host, (ends.get(host) ?? 0) + 1);
    }
  }
  return ends;
}

/**
 * Watches what runs for as long as the rule names: the jobs of which something ran,
 * the most CPU that it used at a time, and whether it left half of the room free.
 */
async function sampleRuns(workers) {
  const deadline = performance.now() + IDLE_MILLIS;
  const jobIds = new Set();
  let mostCpu = 0;
  while (performance.now() < deadline) {
    const runs = workers.flatMap(worker => worker.runs());
    runs.forEach(({task}) => jobIds.add(task.split('.')[0]));
    const cpu = runs.reduce((sum, {task}) => sum + cpuOf(task), 0);
    mostCpu = Math.max(mostCpu, cpu);
    await sleep(CHECK_MILLIS);
  }
  return {
    jobIds,
    mostCpu,
    hasRoom: mostCpu < (workers.length * CAPACITY.cpu) / 2,
  };
}

/** Thousandths of a core that a task asks for. */
function cpuOf(task) {
  return (task.startsWith(WIDE_ID) ? wide : small).steps[0].cpu;
}
