import {serve} from '@hono/node-server';
import type {Resources, Job, RunId} from '@samphireramp/jobs';
import type {LogRecord, StreamName} from '@samphireramp/stream-log';
import {type Context, Hono} from 'hono';
import {match} from 'ts-pattern';
import type {Server} from 'node:http';
import type {Timeline} from '../EventQueue';
import {findFreePorts} from '../findFreePorts';
import {InvariantChecker} from './InvariantChecker';
import {ModelAdviser} from './ModelAdviser';
import {ModelLog, snapshotOf} from './ModelLog';
import type {TaskScript} from './ModelRun';
import {ModelWorker} from './ModelWorker';
import {NO_SITE_FAULTS} from './SiteFaultState';
import {
  NO_PLATFORM_FAULTS,
  type PlatformFaultState,
  injectCallFaults,
} from './platformFaults';
import {createWorkerApp} from './createWorkerApp';
import {
  type RegistryEntry,
  buildRegistryEntry,
  encodeRegistryEntry,
} from './registryEntry';

const LOOPBACK_ADDRESS = '127.0.0.1';
/** Number of partitions of the `requests` stream. */
const PARTITIONS = 4;
/** Interval at which a waiting read checks for new records. */
const READ_CHECK_INTERVAL_MILLIS = 4;
const WORKER_TICK_MILLIS = 10;
/** Size of each of the two offsets before the records of a read. */
const OFFSET_BYTES = 8;
/** Size of the length prefix of a record frame. */
const LENGTH_PREFIX_BYTES = 4;
const BYTES_PER_KILOBYTE = 1024;

/** Streams by the names of their topics in the store. */
const STREAMS_BY_TOPIC: Readonly<Record<string, StreamName>> = {
  'keyed.op': 'configuration',
  'keyed.servers': 'workers',
  'keyed.requests': 'requests',
  'keyed.progress': 'progress',
  'keyed.states': 'states',
  'keyed.hosts': 'hosts',
};

/** Configures the simulated platform. */
export interface PlatformOptions {
  /** Number of workers. */
  readonly workers: number;
  /** Total resources of each worker. */
  readonly capacity: Resources;
  /** Returns the behaviour of a task. */
  readonly script: (job: Job, runId: RunId) => TaskScript;
  /** The operators' configuration, in the format of the platform's store. */
  readonly configuration: object;
  /** Number of hosts; the adviser gets one address for each of them. */
  readonly hosts: number;
  /** Number of workers that the adviser forbids to each step; defaults to 0. */
  readonly forbiddenWorkersPerStep?: number;
  readonly faultState?: PlatformFaultState;
}

/** Simulated store, adviser and workers, served over HTTP on loopback ports. */
export interface Platform {
  readonly storeAddress: string;
  /** Addresses of the adviser, by the index of the calling host. */
  readonly adviserAddresses: readonly string[];
  /** Number of partitions of the `requests` stream. */
  readonly partitions: number;
  readonly checker: InvariantChecker;
  readonly log: ModelLog;
  readonly workers: readonly ModelWorker[];
  /** Listening addresses of the workers, by worker id. */
  readonly workerAddresses: ReadonlyMap<string, string>;
  /** Writes a worker's registry entry, with the given fields replaced. */
  writeRegistryEntry(
    worker: ModelWorker,
    change?: Partial<RegistryEntry>,
  ): void;
  /** Deletes a worker's registry entry. */
  deleteRegistryEntry(worker: ModelWorker): void;
  /** Writes a new configuration, which replaces the previous one. */
  configure(configuration: object): void;
  /** Closes all servers and cancels all timers. */
  stop(): void;
}

/** Starts the simulated platform in this process; it runs in real time. */
export async function startPlatform(
  options: PlatformOptions,
): Promise<Platform> {
  const pendingTimers = new Set<NodeJS.Timeout>();
  const timeline: Timeline = {
    get now() {
      return performance.now();
    },
    after: (delayMillis, callback) => {
      const timer = setTimeout(() => {
        pendingTimers.delete(timer);
        callback();
      }, delayMillis);
      pendingTimers.add(timer);
    },
  };
  const checker = new InvariantChecker(timeline);
  const log = new ModelLog(timeline, NO_SITE_FAULTS, PARTITIONS);
  const ports = await findFreePorts(1 + options.hosts + options.workers);
  const nextAddress = () => `${LOOPBACK_ADDRESS}:${ports.pop()}`;
  const storeAddress = nextAddress();
  const faultState = options.faultState ?? NO_PLATFORM_FAULTS;
  const workers: ModelWorker[] = [];
  const adviser = new ModelAdviser(
    timeline,
    workers,
    jobId => checker.jobs.get(jobId)?.job.policy.advice,
    options.forbiddenWorkersPerStep ?? 0,
  );
  const servers = [listen(createStoreApp(log, faultState), storeAddress)];
  const adviserAddresses = Array.from({length: options.hosts}, () => {
    const ownAddress = nextAddress();
    servers.push(listen(createAdviserApp(adviser, ownAddress), ownAddress));
    return ownAddress;
  });
  const workerAddresses = new Map<string, string>();
  const writeRegistryEntry = (
    worker: ModelWorker,
    change: Partial<RegistryEntry> = {},
  ) => {
    const entry = buildRegistryEntry(worker.record(), change);
    log.put('workers', worker.id, encodeRegistryEntry(entry));
  };
  const configure = (configuration: object) => {
    const text = JSON.stringify(configuration);
    log.put('configuration', 'config', Buffer.from(text));
  };
  for (let index = 0; index < options.workers; index++) {
    const ownAddress = nextAddress();
    const worker: ModelWorker = new ModelWorker(
      `worker-${index}`,
      `rack-${index % 2}`,
      ownAddress,
      options.capacity,
      1,
      timeline,
      checker,
      runId => {
        const job = checker.jobs.get(runId.jobId)?.job;
        return job && options.script(job, runId);
      },
      order => adviser.acceptsTicket(order.ticket, order.runId, worker),
    );
    workers.push(worker);
    servers.push(listen(createWorkerApp(worker, faultState), ownAddress));
    workerAddresses.set(worker.id, ownAddress);
    writeRegistryEntry(worker);
  }
  checker.workers = workers;
  configure(options.configuration);
  const tickTimer = setInterval(
    () => workers.forEach(worker => worker.tick()),
    WORKER_TICK_MILLIS,
  );
  return {
    storeAddress,
    adviserAddresses,
    partitions: PARTITIONS,
    checker,
    log,
    workers,
    workerAddresses,
    writeRegistryEntry: writeRegistryEntry,
    deleteRegistryEntry: worker =>
      log.put('workers', worker.id, Buffer.alloc(0)),
    configure,
    stop: () => {
      clearInterval(tickTimer);
      pendingTimers.forEach(timer => clearTimeout(timer));
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

/** Returns the stream and the partition that a call to the store names. */
function streamPartitionOf(context: Context): [StreamName, number] {
  const topic = context.req.query('topic') ?? '';
  return [STREAMS_BY_TOPIC[topic], Number(context.req.query('part'))];
}

/** Creates an HTTP application that serves a log by the store's protocol. */
function createStoreApp(log: ModelLog, faultState: PlatformFaultState): Hono {
  const app = new Hono();
  injectCallFaults(app, '/api/*', () => faultState.store(), faultState);
  app.post('/api/log-append', async context => {
    const [stream, partition] = streamPartitionOf(context);
    const body = Buffer.from(await context.req.arrayBuffer());
    const expectedEnd = context.req.query('at');
    const outcome = log.applyAppend({
      stream,
      partition,
      records: decodeFrames(body),
      expectedEnd: expectedEnd === undefined ? undefined : Number(expectedEnd),
    });
    return outcome.kind === 'appended'
      ? context.json({offset: outcome.offset, end_offset: outcome.endOffset})
      : context.json({end_offset: log.records(stream, partition).length}, 412);
  });
  app.get('/api/log-newest', context => {
    const records = log.records(...streamPartitionOf(context));
    const items = snapshotOf(records).map(({key, value, offset}) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const end = records.length;
    return context.json({items, has_more: false, end_offset: end});
  });
  app.get('/api/log-read', async context => {
    const records = log.records(...streamPartitionOf(context));
    const from = Number(context.req.query('from'));
    const waitUntil =
      performance.now() + Number(context.req.query('wait_ms') ?? 0);
    while (records.length <= from && performance.now() < waitUntil) {
      await new Promise(resolve => {
        setTimeout(resolve, READ_CHECK_INTERVAL_MILLIS);
      });
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(records.length), 0);
    const maxBytes =
      Number(context.req.query('max_kilobytes') ?? 1024) * BYTES_PER_KILOBYTE;
    const page = encodePage(records.slice(from), maxBytes);
    return context.body(Uint8Array.from(Buffer.concat([header, page])));
  });
  return app;
}

/** Encodes records up to a size, and at least one. */
function encodePage(records: readonly LogRecord[], maxBytes: number): Buffer {
  const frames: Buffer[] = [];
  let bytes = 0;
  for (const record of records) {
    const frame = Buffer.concat(encodeFrame(record));
    bytes += frame.length;
    if (frames.length > 0 && bytes > maxBytes) {
      break;
    }
    frames.push(frame);
  }
  return Buffer.concat(frames);
}

/** Creates an HTTP application that serves the adviser to one host. */
function createAdviserApp(adviser: ModelAdviser, host: string): Hono {
  const app = new Hono();
  app.post('/api/advise', async context => {
    const {step, workers} = await context.req.json<{
      step: string;
      workers: string[];
    }>();
    const [jobId, occurrence, stepIndex] = step.split('.');
    const stepId = {
      jobId,
      occurrence: Number(occurrence),
      step: Number(stepIndex),
    };
    const advice = await adviser.advise(host, stepId, workers);
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

/**
 * Encodes a record as a frame: length of the rest (4 bytes), length of the key
 * (1 byte), key, value.
 */
function encodeFrame({key, value}: LogRecord): Buffer[] {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_PREFIX_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_PREFIX_BYTES);
  return [header, keyBytes, value];
}

/** Decodes the frames of an append. */
function decodeFrames(body: Buffer): LogRecord[] {
  const records: LogRecord[] = [];
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_PREFIX_BYTES;
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
