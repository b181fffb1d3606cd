import {serve} from '@hono/node-server';
import type {Resources, Job, RunId} from '@samphireramp/jobs';
import type {LogRecord, StreamName} from '@samphireramp/stream-log';
import {type Context, Hono} from 'hono';
import {match} from 'ts-pattern';
import type {Server} from 'node:http';
import type {Timeline} from '../EventQueue';
import {findFreePorts} from '../findFreePorts';
import {InvariantChecker} from './Judge';
import {ModelAdviser} from './ModelAdviser';
import {ModelLog, newestOf} from './ModelLog';
import {ModelWorker, type TaskScript} from './ModelWorker';
import {NO_SITE_FAULTS} from './SiteWeather';
import {
  NO_PLATFORM_FAULTS,
  type PlatformFaultState,
  injectCallFaults,
} from './platformWeather';
import {bornOf, workerApp} from './workerApp';

const HOST = '127.0.0.1';
const PARTITIONS = 4;
const POLL_MILLIS = 4;
const WORKER_TICK_MILLIS = 10;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

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
  readonly capacity: Resources;
  readonly script: (job: Job, place: RunId) => TaskScript;
  /** The operator's configuration, in the platform's own format. */
  readonly configuration: object;
  /** Hosts that the adviser tells from each other. */
  readonly hosts: number;
  /** Workers that no start of a step may go to, for each step; 0 unless set. */
  readonly forbiddenWorkers?: number;
  readonly weather?: PlatformFaultState;
}

/** The platform's store, adviser and workers, over HTTP on loopback. */
export interface Platform {
  readonly storeAddress: string;
  /** The adviser, one address for each host. */
  readonly adviserAddresses: readonly string[];
  readonly partitions: number;
  readonly checker: InvariantChecker;
  readonly log: ModelLog;
  readonly workers: readonly ModelWorker[];
  /** Where each worker is reached, by its id. */
  readonly workerAddresses: ReadonlyMap<string, string>;
  /** Writes a worker's entry anew, with another address if one is given. */
  list(worker: ModelWorker, change?: EntryChange): void;
  /** Removes a worker's entry. */
  unlist(worker: ModelWorker): void;
  /** Puts another configuration in force. */
  configure(configuration: object): void;
  stop(): void;
}

/** What of a worker's entry may be told otherwise. */
export interface EntryChange {
  readonly address?: string;
  readonly state?: 'ready' | 'draining';
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
  const judge = new InvariantChecker(timeline);
  const log = new ModelLog(timeline, NO_SITE_FAULTS, PARTITIONS);
  const ports = await findFreePorts(1 + options.hosts + options.workers);
  const address = () => `${HOST}:${ports.pop()}`;
  const storeAddress = address();
  const weather = options.weather ?? NO_PLATFORM_FAULTS;
  const workers: ModelWorker[] = [];
  const adviser = new ModelAdviser(
    timeline,
    workers,
    jobId => judge.jobs.get(jobId)?.job.policy.advice,
    options.forbiddenWorkers ?? 0,
  );
  const servers = [listen(storeApp(log, weather), storeAddress)];
  const adviserAddresses = Array.from({length: options.hosts}, () => {
    const own = address();
    servers.push(listen(adviserApp(adviser, own), own));
    return own;
  });
  const workerAddresses = new Map<string, string>();
  const list = (worker: ModelWorker, change: EntryChange = {}) => {
    const own = workerAddresses.get(worker.id) ?? '';
    const entry = {...entryOf(worker, own, options.capacity), ...change};
    log.put('workers', worker.id, Buffer.from(JSON.stringify(entry)));
  };
  const configure = (configuration: object) => {
    const text = JSON.stringify(configuration);
    log.put('configuration', 'config', Buffer.from(text));
  };
  for (let index = 0; index < options.workers; index++) {
    const worker: ModelWorker = new ModelWorker(
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
      order => adviser.accepts(order.ticket, order.runId, worker),
    );
    workers.push(worker);
    const own = address();
    servers.push(listen(workerApp(worker, weather), own));
    workerAddresses.set(worker.id, own);
    list(worker);
  }
  judge.workers = workers;
  configure(options.configuration);
  const ticker = setInterval(
    () => workers.forEach(worker => worker.tick()),
    WORKER_TICK_MILLIS,
  );
  return {
    storeAddress,
    adviserAddresses,
    partitions: PARTITIONS,
    checker: judge,
    log,
    workers,
    workerAddresses,
    list,
    unlist: worker => log.put('workers', worker.id, Buffer.alloc(0)),
    configure,
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

function entryOf(worker: ModelWorker, address: string, capacity: Resources) {
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

function place(context: Context): [StreamName, number] {
  const topic = context.req.query('topic') ?? '';
  return [STREAMS[topic], Number(context.req.query('part'))];
}

function storeApp(log: ModelLog, weather: PlatformFaultState): Hono {
  const app = new Hono();
  injectCallFaults(app, '/api/*', () => weather.store(), weather);
  app.post('/api/log-append', async context => {
    const [stream, partition] = place(context);
    const body = Buffer.from(await context.req.arrayBuffer());
    const at = context.req.query('at');
    const outcome = log.carryOut({
      stream,
      partition,
      records: unframe(body),
      expectedEnd: at === undefined ? undefined : Number(at),
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

function adviserApp(adviser: ModelAdviser, host: string): Hono {
  const app = new Hono();
  app.post('/api/advise', async context => {
    const {step, workers} = await context.req.json<{
      step: string;
      workers: string[];
    }>();
    const [jobId, occurrence, number] = step.split('.');
    const place = {
      jobId,
      occurrence: Number(occurrence),
      step: Number(number),
    };
    const advice = await adviser.advise(host, place, workers);
    return match(advice)
      .with({kind: 'answered'}, ({permits, validityMillis}) =>
        context.json({
          good: permits.map(({workerId, ticket}) => [workerId, ticket]),
          validity_ms: validityMillis,
        }),
      )
      .with({kind: 'busy'}, () => context.json({}, 429))
      .with({kind: 'failed'}, () => context.json({}, 400))
      .exhaustive();
  });
  return app;
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
