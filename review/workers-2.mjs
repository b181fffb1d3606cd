/* global clearInterval, clearTimeout, performance, setInterval, setTimeout */
import {createServer} from 'node:http';
import {answerJson, readBody, sleep} from './store-2.mjs';

const HEARTBEAT_MILLIS = 1500;
const MAX_HOLD_MILLIS = 10_000;
const STOP_MILLIS = 100;
const GANG_TIMEOUT_MILLIS = 3000;
/** `checkpoint_interval_s` and `restore_ms`. */
const CHECKPOINT_INTERVAL_MILLIS = 500;
const RESTORE_MILLIS = 250;
const CHECKPOINT_CHARACTERS = 16;
const TICK_MILLIS = 10;

/**
 * The workers of one service, as PROTOCOL.md describes them. `describeTask` tells how
 * long a task works, of how many members its gang is and whether it saves checkpoints;
 * `onEvent` receives what happens.
 */
export class Fleet {
  constructor({store, service, describeTask, onEvent}) {
    Object.assign(this, {store, service, describeTask, onEvent});
    this.workers = [];
    this.timer = setInterval(() => {
      for (const worker of this.workers) {
        worker.tick();
      }
    }, TICK_MILLIS);
  }

  async addWorker(id, host, options = {}) {
    const worker = new Worker(this, id, host, options);
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  /** Runs of the same run of a gang, on all workers. */
  gangOf(task, run) {
    const step = task.slice(0, task.lastIndexOf('.'));
    return this.workers.flatMap(worker =>
      worker.runs
        .filter(
          each =>
            each.run === run &&
            each.task.slice(0, each.task.lastIndexOf('.')) === step,
        )
        .map(each => ({worker, each})),
    );
  }

  close() {
    clearInterval(this.timer);
    this.workers.forEach(worker => worker.close());
  }
}

class Worker {
  constructor(fleet, id, host, {rack = 'rack-0', capacity} = {}) {
    Object.assign(this, {fleet, id, host, rack});
    this.capacity = capacity ?? {
      cpu: 16_000,
      memory_request_mb: 32_768,
      gpu: 0,
    };
    this.sequence = 0;
    this.port = 0;
    this.isUp = false;
    this.runs = [];
  }

  /** Begins a life, which knows nothing of the one before. */
  async start() {
    this.born = Date.now();
    this.startedAt = performance.now();
    this.runs = [];
    this.ends = [];
    this.endCount = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.lastRuns = new Map();
    this.wakers = new Set();
    this.state = 'ready';
    this.server = createServer((request, response) => {
      this.handle(request, response, this.born).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => {
      this.server.listen(this.port, this.host, resolve);
    });
    this.port = this.server.address().port;
    this.isUp = true;
    this.writeEntry();
    this.heartbeat = setInterval(() => this.writeEntry(), HEARTBEAT_MILLIS);
  }

  /** The process ends without notice; its port refuses connections. */
  crash() {
    this.fleet.onEvent('crash', this, {
      runs: this.runs.map(({task, run}) => [task, run]),
    });
    this.isUp = false;
    const lost = this.runs;
    this.runs = [];
    this.close();
    for (const {task, run, members} of lost) {
      if (members > 1) {
        for (const {worker, each} of this.fleet.gangOf(task, run)) {
          worker.endRun(each, 'broken');
        }
      }
    }
  }

  /** The machine loses power for good: nothing answers, and connections hang. */
  goDark() {
    this.fleet.onEvent('dark', this, {
      runs: this.runs.map(({task, run}) => [task, run]),
    });
    this.isUp = false;
    this.isDark = true;
    this.runs = [];
    clearInterval(this.heartbeat);
    // The platform deletes the entry of a worker after three intervals of silence.
    setTimeout(
      () => this.fleet.store.put('keyed.servers', this.id, undefined),
      3 * HEARTBEAT_MILLIS,
    ).unref();
  }

  async crashFor(millis) {
    this.crash();
    await sleep(millis);
    await this.start();
    this.fleet.onEvent('restart', this, {});
  }

  close() {
    clearInterval(this.heartbeat);
    this.server.closeAllConnections();
    this.server.close();
  }

  clock() {
    return Math.floor(performance.now() - this.startedAt);
  }

  writeEntry() {
    this.fleet.store.put('keyed.servers', this.id, {
      service: this.fleet.service,
      address: `${this.host}:${this.port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      born: this.born,
      capacity: this.capacity,
      labels: ['a', this.rack],
    });
  }

  async handle(request, response, born) {
    const body = JSON.parse((await readBody(request)).toString() || '{}');
    if (this.isDark) {
      this.fleet.onEvent('unanswered', this, {
        url: request.url,
        task: body.task,
      });
      return;
    }
    if (request.headers['expected-instance'] !== this.id) {
      answerJson(response, 421, {clock_ms: this.clock()});
      return;
    }
    const {url} = request;
    const token = body.fencing_token ?? 0;
    if (token < this.fence) {
      answerJson(response, 409, {clock_ms: this.clock(), reason: 'fence'});
      return;
    }
    this.fence = token;
    if (url === '/api/hold') {
      await this.hold(body, response, born);
    } else if (url === '/api/run-start') {
      this.startRun(body, response);
    } else if (url === '/api/run-stop') {
      this.stopRun(body, response);
    } else {
      answerJson(response, 404, {clock_ms: this.clock()});
    }
  }

  extendLease(until) {
    const longest = this.clock() + MAX_HOLD_MILLIS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until ?? 0, longest));
  }

  async hold(
    {ack_cursor: acknowledged, until_ms, wait_ms = 0},
    response,
    born,
  ) {
    this.extendLease(until_ms);
    this.ends = this.ends.filter(([number]) => number > acknowledged);
    if (this.ends.length === 0 && wait_ms > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.wakers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, wait_ms);
        this.wakers.add(wake);
      });
    }
    if (!this.isUp || this.born !== born) {
      response.destroy();
      return;
    }
    answerJson(response, 200, {
      clock_ms: this.clock(),
      born: this.born,
      running: this.runs.map(({task, run, saved, percent}) => [
        task,
        run,
        saved,
        Math.floor(percent),
        1000,
      ]),
      ended_runs: this.ends.slice(0, 500),
    });
  }

  startRun(
    {task, run, specification, until_ms, last_checkpoint: saved = ''},
    response,
  ) {
    const refuse = reason =>
      answerJson(response, 409, {clock_ms: this.clock(), reason});
    if (until_ms <= this.clock()) {
      refuse('late');
      return;
    }
    this.extendLease(until_ms);
    const known = this.runs.find(each => each.task === task);
    if (known?.run === run) {
      answerJson(response, 200, {clock_ms: this.clock()});
      return;
    }
    if (known !== undefined || run <= (this.lastRuns.get(task) ?? 0)) {
      refuse('old');
      return;
    }
    const {
      workMillis,
      members = 1,
      outcome = 'done',
      savesCheckpoints = false,
    } = this.fleet.describeTask(task, run);
    const now = performance.now();
    // A checkpoint of these workers is the work done, in milliseconds.
    const workFrom =
      saved === '' ? now : now + RESTORE_MILLIS - Number.parseInt(saved, 16);
    this.runs.push({
      task,
      run,
      workMillis,
      members,
      outcome,
      savesCheckpoints,
      saved,
      startedAt: now,
      workFrom: members > 1 ? undefined : workFrom,
      percent: 0,
    });
    this.fleet.onEvent('start', this, {task, run, specification});
    answerJson(response, 200, {clock_ms: this.clock()});
  }

  stopRun({task, run}, response) {
    const known = this.runs.find(
      each => each.task === task && each.run === run,
    );
    if (known === undefined) {
      this.lastRuns.set(task, Math.max(run, this.lastRuns.get(task) ?? 0));
    } else {
      setTimeout(() => this.endRun(known, 'stopped'), STOP_MILLIS);
    }
    answerJson(response, 200, {clock_ms: this.clock()});
  }

  endRun(ended, how) {
    if (!this.isUp || !this.runs.includes(ended)) {
      return;
    }
    const {task, run} = ended;
    if (how === 'stopped') {
      saveCheckpoint(ended, 0);
    }
    this.runs = this.runs.filter(each => each !== ended);
    this.lastRuns.set(task, Math.max(run, this.lastRuns.get(task) ?? 0));
    const saved = how === 'done' ? '' : ended.saved;
    this.ends.push([++this.endCount, task, run, how, saved]);
    this.fleet.onEvent('end', this, {task, run, how});
    [...this.wakers].forEach(wake => wake());
    if (ended.members > 1) {
      const others = how === 'done' ? 'done' : 'broken';
      for (const {worker, each} of this.fleet.gangOf(task, run)) {
        worker.endRun(each, others);
      }
    }
  }

  tick() {
    if (!this.isUp) {
      return;
    }
    const now = performance.now();
    if (this.runs.length > 0 && this.clock() > this.leaseUntil) {
      [...this.runs].forEach(each => this.endRun(each, 'lapsed'));
    }
    for (const each of [...this.runs]) {
      if (each.workFrom === undefined) {
        const gang = this.fleet.gangOf(each.task, each.run);
        if (gang.length === each.members) {
          gang.forEach(({each: member}) => {
            member.workFrom ??= now;
          });
        } else if (now - each.startedAt > GANG_TIMEOUT_MILLIS) {
          this.endRun(each, 'alone');
          continue;
        }
      }
      if (each.workFrom !== undefined) {
        each.percent = Math.min(
          100,
          (Math.max(0, now - each.workFrom) / each.workMillis) * 100,
        );
        saveCheckpoint(each, CHECKPOINT_INTERVAL_MILLIS);
        if (each.percent >= 100) {
          this.endRun(each, each.outcome);
        }
      }
    }
  }
}

/** Saves the work that a run has done, if it is at least so much more than is saved. */
function saveCheckpoint(run, leastMillis) {
  const {savesCheckpoints, saved, workFrom} = run;
  const doneMillis = Math.floor(performance.now() - workFrom);
  const savedMillis = saved === '' ? 0 : Number.parseInt(saved, 16);
  if (savesCheckpoints && doneMillis > savedMillis + leastMillis) {
    run.saved = doneMillis.toString(16).padStart(CHECKPOINT_CHARACTERS, '0');
  }
}
