/* global Buffer, clearInterval, performance, setInterval, setTimeout */
// Stand-in of a worker, as PROTOCOL.md describes it under "Running tasks".
import {createServer} from 'node:http';
import {listen, readBody, send, sleep} from './store.mjs';

const MAX_HOLD_MILLIS = 10_000;
const MAX_WAIT_MILLIS = 2000;
/** Number of ends in one answer. */
const MAX_LISTED_ENDS = 500;
const STOP_MILLIS = 50;
const TICK_MILLIS = 10;
const HEARTBEAT_MILLIS = 1500;

/**
 * Starts a worker at HOST:PORT. `behaviour` returns, for a task, how long it works
 * (`workMillis`, Infinity for one that lasts) and after which time it crashes the
 * worker (`crashMillis`, if it does). `record` gets what the worker does.
 */
export async function startWorker({
  id,
  address,
  rack,
  capacity,
  store,
  behaviour,
  record,
  crashRecoveryMillis = 3000,
}) {
  /** Changes with each life; all that is in it is lost in a crash. */
  let life;
  let lives = 0;
  let isUp = false;
  let server;
  let heartbeat;
  let tick;
  /** Orders to start that get no answer and are carried out later. */
  const lateStarts = [];
  /** Returns whether an order to start gets no answer now. */
  let isLate = () => false;
  /** Returns whether a hold gets no answer now, and is carried out later. */
  let isLateHold = () => false;
  const lateHolds = [];

  const clock = () => Math.floor(performance.now() - life.startedAt);

  function entry() {
    return {
      service: 'pool',
      address: worker.registeredAddress,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels: ['a', rack],
      clock_ms: clock(),
      born: life.born,
      sequence: ++life.sequence,
    };
  }

  function writeEntry() {
    return store.put('keyed.servers', id, Buffer.from(JSON.stringify(entry())));
  }

  function isFenced(token = 0) {
    if (token < life.fence) {
      return true;
    }
    life.fence = token;
    return false;
  }

  function extendLease(untilMillis = 0) {
    const latest = clock() + MAX_HOLD_MILLIS;
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(untilMillis, latest));
  }

  function endRun(run, how) {
    life.runs.delete(run.task);
    life.lastRun.set(run.task, run.run);
    life.ends.push({
      number: ++life.endCount,
      task: run.task,
      run: run.run,
      how,
    });
    record('run-ended', {
      worker: id,
      born: life.born,
      task: run.task,
      run: run.run,
      how,
    });
    life.waiters.splice(0).forEach(wake => wake());
  }

  function start(body) {
    const {task, run, specification, until_ms: until} = body;
    if (isFenced(body.fencing_token)) {
      return [409, {clock_ms: clock(), reason: 'fence'}];
    }
    extendLease(until);
    if (life.runs.get(task)?.run === run) {
      return [200, {clock_ms: clock()}];
    }
    if (run <= (life.lastRun.get(task) ?? 0) || life.runs.has(task)) {
      return [409, {clock_ms: clock(), reason: 'old'}];
    }
    if (until <= clock()) {
      return [409, {clock_ms: clock(), reason: 'late'}];
    }
    const {workMillis, crashMillis} = behaviour(task, specification);
    life.runs.set(task, {task, run, startedAt: performance.now(), workMillis});
    record('run-started', {
      worker: id,
      born: life.born,
      task,
      run,
      specification: specification.slice(0, 40),
      fence: body.fencing_token,
    });
    if (crashMillis !== undefined) {
      const startedIn = life;
      setTimeout(() => {
        if (isUp && life === startedIn) {
          record('crash-by-task', {worker: id, task, run});
          crash(crashRecoveryMillis);
        }
      }, crashMillis);
    }
    return [200, {clock_ms: clock()}];
  }

  function stop({task, run, fencing_token: token}) {
    if (isFenced(token)) {
      return [409, {clock_ms: clock(), reason: 'fence'}];
    }
    const running = life.runs.get(task);
    if (running?.run === run) {
      const stoppedIn = life;
      setTimeout(() => {
        if (life === stoppedIn && life.runs.get(task) === running) {
          endRun(running, 'stopped');
        }
      }, STOP_MILLIS);
    } else {
      life.lastRun.set(task, Math.max(run, life.lastRun.get(task) ?? 0));
    }
    return [200, {clock_ms: clock()}];
  }

  async function hold(body) {
    if (isFenced(body.fencing_token)) {
      return [409, {clock_ms: clock(), reason: 'fence'}];
    }
    extendLease(body.until_ms);
    const heldIn = life;
    for (const end of life.ends.filter(
      ({number}) => number <= body.ack_cursor,
    )) {
      record('end-acknowledged', {
        worker: id,
        born: life.born,
        task: end.task,
        run: end.run,
        how: end.how,
      });
    }
    life.ends = life.ends.filter(({number}) => number > body.ack_cursor);
    const waitMillis = Math.min(MAX_WAIT_MILLIS, body.wait_ms ?? 0);
    if (life.ends.length === 0 && waitMillis > 0) {
      await new Promise(resolve => {
        heldIn.waiters.push(resolve);
        setTimeout(resolve, waitMillis);
      });
    }
    const now = performance.now();
    return [
      200,
      {
        clock_ms: clock(),
        born: life.born,
        running: [...life.runs.values()].map(
          ({task, run, startedAt, workMillis}) => [
            task,
            run,
            '',
            Math.floor(percentDone(now - startedAt, workMillis)),
            0,
          ],
        ),
        ended_runs: life.ends
          .slice(0, MAX_LISTED_ENDS)
          .map(({number, task, run, how}) => [number, task, run, how, '']),
      },
    ];
  }

  async function answer(request, response) {
    const text = (await readBody(request)).toString();
    if (!isUp || text === '') {
      request.socket.destroy();
      return;
    }
    if (request.headers['expected-instance'] !== id) {
      send(response, 421, {});
      return;
    }
    const body = JSON.parse(text);
    if (request.url === '/api/hold') {
      if (isLateHold(body)) {
        lateHolds.push(body);
        record('hold-left-unanswered', {worker: id, cursor: body.ack_cursor});
        return;
      }
      const [status, content] = await hold(body);
      send(response, status, content);
    } else if (request.url === '/api/run-start') {
      if (isLate(body)) {
        lateStarts.push(body);
        record('start-left-unanswered', {
          worker: id,
          task: body.task,
          run: body.run,
        });
        return;
      }
      const [status, content] = start(body);
      send(response, status, content);
    } else if (request.url === '/api/run-stop') {
      const [status, content] = stop(body);
      send(response, status, content);
    } else {
      send(response, 404, {});
    }
  }

  function advance() {
    const now = performance.now();
    const hasLapsed = clock() > life.leaseUntil;
    if (hasLapsed && !life.hasLapsed && life.leaseUntil > 0) {
      record('lease-lapsed', {worker: id, born: life.born});
    }
    life.hasLapsed = hasLapsed;
    for (const run of [...life.runs.values()]) {
      if (hasLapsed) {
        endRun(run, 'lapsed');
      } else if (now - run.startedAt >= run.workMillis) {
        endRun(run, 'done');
      }
    }
  }

  async function begin() {
    lives++;
    life = {
      startedAt: performance.now(),
      born: Date.now(),
      sequence: 0,
      fence: 0,
      leaseUntil: 0,
      hasLapsed: true,
      runs: new Map(),
      lastRun: new Map(),
      ends: [],
      endCount: 0,
      waiters: [],
    };
    isUp = true;
    server = createServer(answer);
    server.keepAliveTimeout = 2000;
    await listen(server, address);
    tick = setInterval(advance, TICK_MILLIS);
    record('worker-up', {worker: id, born: life.born, lives});
  }

  function end(why) {
    isUp = false;
    clearInterval(tick);
    clearInterval(heartbeat);
    for (const {task, run} of life.runs.values()) {
      record('run-lost', {worker: id, born: life.born, task, run});
    }
    life.runs.clear();
    life.waiters.splice(0).forEach(wake => wake());
    server.closeAllConnections();
    server.close();
    record('worker-down', {worker: id, born: life.born, why});
  }

  function register() {
    writeEntry();
    heartbeat = setInterval(writeEntry, HEARTBEAT_MILLIS);
  }

  /** Crashes; the worker is back under its id after some milliseconds. */
  async function crash(downMillis) {
    end('crash');
    if (downMillis !== Infinity) {
      await sleep(downMillis);
      await begin();
      register();
    }
  }

  const worker = {
    id,
    address,
    registeredAddress: address,
    crash,
    /** The end of its process without a return; its entry is removed later. */
    lose: () => {
      end('lost');
      setTimeout(() => {
        store.put('keyed.servers', id, Buffer.alloc(0));
        record('entry-removed', {worker: id});
      }, 3 * HEARTBEAT_MILLIS).unref();
    },
    register,
    begin,
    entry,
    isUp: () => isUp,
    countRuns: () => life.runs.size,
    runs: () => [...life.runs.values()],
    leaseLeftMillis: () => life.leaseUntil - clock(),
    /** Chooses which orders to start get no answer and are carried out later. */
    setLate: next => {
      isLate = next;
    },
    /** Carries out the orders that were left unanswered. */
    carryOutLateStarts: () => {
      for (const body of lateStarts.splice(0)) {
        record('late-start', {worker: id, task: body.task, run: body.run});
        const [status, content] = start(body);
        record('late-start-result', {
          worker: id,
          task: body.task,
          run: body.run,
          status,
          reason: content.reason,
        });
      }
    },
    /** Chooses which holds get no answer and are carried out later. */
    setLateHold: next => {
      isLateHold = next;
    },
    /** Carries out the holds that were left unanswered. */
    carryOutLateHolds: async () => {
      for (const body of lateHolds.splice(0)) {
        const [status] = await hold({...body, wait_ms: 0});
        record('late-hold', {worker: id, cursor: body.ack_cursor, status});
      }
    },
    /** Changes its room, which its next entry shows. */
    setCapacity: next => {
      capacity = next;
      record('capacity', {worker: id, ...next});
      return writeEntry();
    },
    close: () => {
      if (isUp) {
        end('closed');
      }
    },
  };
  await begin();
  return worker;
}

function percentDone(elapsedMillis, workMillis) {
  return workMillis === Infinity
    ? 100
    : Math.min(100, (elapsedMillis / workMillis) * 100);
}
