import {serve} from '@hono/node-server';
import type {Amounts, Job, RunPlace} from '@samphireramp/jobs';
import type {LogRecord, StreamName} from '@samphireramp/stream-log';
import {type Context, Hono} from 'hono';
import type {Server} from 'node:http';
import type {Timeline} from '../EventQueue';
import {findFreePorts} from '../findFreePorts';
import {Judge} from './Judge';
import {ModelLog, newestOf} from './ModelLog';
import {ModelWorker, type TaskScript} from './ModelWorker';
import {FAIR} from './SiteWeather';

const HOST = '127.0.0.1';
const PARTITIONS = 4;
const POLL_MILLIS = 4;
const WORKER_TICK_MILLIS = 10;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const VALIDITY_MILLIS = 2500;

const STREAMS: Readonly<Record<string, StreamName>> = {
  'keyed.op': 'configuration',
  'keyed.servers': 'workers',
  'keyed.requests': 'requests',
  'keyed.progress': 'progress',
  'keyed.hosts': 'hosts',
};

/** What a stand-in of the platform is made of. */
export interface PlatformOptions {
  readonly workers: number;
  readonly capacity: Amounts;
  readonly script: (job: Job, place: RunPlace) => TaskScript;
  /** The operator's configuration, in the platform's own format. */
  readonly configuration: object;
}

/** The platform's store, adviser and workers, over HTTP on loopback. */
export interface Platform {
  readonly storeAddress: string;
  readonly adviserAddress: string;
  readonly partitions: number;
  readonly judge: Judge;
  readonly log: ModelLog;
  readonly workers: readonly ModelWorker[];
  stop(): void;
}

/** Starts a stand-in of the platform in this process, in real time. */
export async function startPlatform(
  options: PlatformOptions,
): Promise<Platform> {
  const timers = new Set<NodeJS.Timeout>();
  const timeline: Timeline = {
    get now() {
      return performance.now();
    },
    after: (delay, run) => {
      const timer = setTimeout(() => {
        timers.delete(timer);
        run();
      }, delay);
      timers.add(timer);
    },
  };
  const judge = new Judge(timeline);
  const log = new ModelLog(timeline, FAIR, PARTITIONS);
  const ports = await findFreePorts(2 + options.workers);
  const address = () => `${HOST}:${ports.pop()}`;
  const storeAddress = address();
  const adviserAddress = address();
  const servers = [
    listen(storeApp(log), storeAddress),
    listen(adviserApp(), adviserAddress),
  ];
  const workers: ModelWorker[] = [];
  for (let index = 0; index < options.workers; index++) {
    const worker = new ModelWorker(
      `worker-${index}`,
      `rack-${index % 2}`,
      options.capacity,
      1,
      timeline,
      judge,
      place => {
        const job = judge.jobs.get(place.jobId)?.job;
        return job && options.script(job, place);
      },
    );
    workers.push(worker);
    const own = address();
    servers.push(listen(workerApp(worker), own));
    const entry = entryOf(worker, own, options.capacity);
    log.put('workers', worker.id, Buffer.from(JSON.stringify(entry)));
  }
  judge.workers = workers;
  const configuration = JSON.stringify(options.configuration);
  log.put('configuration', 'config', Buffer.from(configuration));
  const ticker = setInterval(
    () => workers.forEach(worker => worker.tick()),
    WORKER_TICK_MILLIS,
  );
  return {
    storeAddress,
    adviserAddress,
    partitions: PARTITIONS,
    judge,
    log,
    workers,
    stop: () => {
      clearInterval(ticker);
      timers.forEach(timer => clearTimeout(timer));
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function listen(app: Hono, address: string): Server {
  const [hostname, port] = address.split(':');
  return serve({fetch: app.fetch, hostname, port: Number(port)}) as Server;
}

function entryOf(worker: ModelWorker, address: string, capacity: Amounts) {
  return {
    service: 'pool',
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    capacity: {
      cpu: capacity.cpuMillis,
      memory_request_mb: capacity.memoryMegabytes,
      gpu: capacity.accelerators,
    },
    labels: ['kind-a', worker.rack],
    born: bornOf(worker),
    sequence: 1,
  };
}

function bornOf(worker: ModelWorker): number {
  return Number(worker.life.split('@')[1]);
}

function place(context: Context): [StreamName, number] {
  const topic = context.req.query('topic') ?? '';
  return [STREAMS[topic], Number(context.req.query('part'))];
}

function storeApp(log: ModelLog): Hono {
  const app = new Hono();
  app.post('/api/log-append', async context => {
    const [stream, partition] = place(context);
    const body = Buffer.from(await context.req.arrayBuffer());
    const at = context.req.query('at');
    const outcome = log.carryOut({
      stream,
      partition,
      records: unframe(body),
      at: at === undefined ? undefined : Number(at),
    });
    return outcome.kind === 'appended'
      ? context.json({offset: outcome.offset, end_offset: outcome.end})
      : context.json({end_offset: log.records(stream, partition).length}, 412);
  });
  app.get('/api/log-newest', context => {
    const records = log.records(...place(context));
    const items = newestOf(records).map(({key, value, offset}) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const end = records.length;
    return context.json({items, has_more: false, end_offset: end});
  });
  app.get('/api/log-read', async context => {
    const records = log.records(...place(context));
    const from = Number(context.req.query('from'));
    const waitUntil =
      performance.now() + Number(context.req.query('wait_ms') ?? 0);
    while (records.length <= from && performance.now() < waitUntil) {
      await new Promise(resolve => {
        setTimeout(resolve, POLL_MILLIS);
      });
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const framed = records.slice(from).flatMap(frame);
    return context.body(Uint8Array.from(Buffer.concat([head, ...framed])));
  });
  return app;
}

function adviserApp(): Hono {
  const app = new Hono();
  app.post('/api/advise', async context => {
    const {workers} = await context.req.json<{workers: string[]}>();
    const good = workers.map(id => [id, `ticket-${id}`]);
    return context.json({good, validity_ms: VALIDITY_MILLIS});
  });
  return app;
}

interface OrderBody {
  readonly task: string;
  readonly run: number;
  readonly specification: string;
  readonly until_ms: number;
  readonly fencing_token: number;
  readonly last_checkpoint?: string;
  readonly ack_cursor: number;
  readonly wait_ms?: number;
}

const REASONS: Readonly<Record<string, string>> = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
};

function workerApp(worker: ModelWorker): Hono {
  const app = new Hono();
  app.use(async (context, next) => {
    if (context.req.header('expected-instance') !== worker.id) {
      return context.json({}, 421);
    }
    await next();
    return undefined;
  });
  app.post('/api/hold', async context => {
    const body = await context.req.json<OrderBody>();
    const listing = await worker.hold(
      body.fencing_token,
      body.ack_cursor,
      body.until_ms,
      body.wait_ms ?? 0,
    );
    if (listing === 'fenced') {
      return context.json({reason: 'fence'}, 409);
    }
    return context.json({
      clock_ms: listing.clockMillis,
      born: bornOf(worker),
      running: listing.running.map(run => [
        nameOf(run.place),
        run.place.run,
        run.checkpoint,
        run.percent,
        0,
      ]),
      ended_runs: listing.ended.map(end => [
        end.number,
        nameOf(end.place),
        end.place.run,
        end.how,
        end.checkpoint,
      ]),
    });
  });
  app.post('/api/run-start', async context => {
    const body = await context.req.json<OrderBody>();
    const outcome = worker.start(
      {
        place: placeOf(body),
        life: worker.life,
        input: body.specification,
        checkpoint: body.last_checkpoint ?? '',
        ticket: undefined,
      },
      body.fencing_token,
      body.until_ms,
    );
    return outcome === 'started'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json({reason: REASONS[outcome] ?? 'room'}, 409);
  });
  app.post('/api/run-stop', async context => {
    const body = await context.req.json<OrderBody>();
    return worker.stop(placeOf(body), body.fencing_token) === 'stopped'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json({reason: 'fence'}, 409);
  });
  return app;
}

function nameOf({jobId, occurrence, step, index}: RunPlace): string {
  return [jobId, occurrence, step, index].join('.');
}

function placeOf({task, run}: OrderBody): RunPlace {
  const [jobId, occurrence, step, index] = task.split('.');
  return {
    jobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
    run,
  };
}

function frame({key, value}: LogRecord): Buffer[] {
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + key.length + value.length, 0);
  head.writeUInt8(key.length, LENGTH_BYTES);
  return [head, Buffer.from(key), value];
}

function unframe(body: Buffer): LogRecord[] {
  const records: LogRecord[] = [];
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    const keyEnd = start + 1 + body.readUInt8(start);
    records.push({
      key: body.subarray(start + 1, keyEnd).toString(),
      value: body.subarray(keyEnd, end),
    });
    position = end;
  }
  return records;
}
