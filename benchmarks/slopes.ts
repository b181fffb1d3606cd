import {CONFIGURATION_READ} from '@samphireramp/configuration';
import {JOURNAL_TICK, REPLICAS, SHARD_RECOVERED} from '@samphireramp/journal';
import {type Kernel} from '@samphireramp/kernel';
import {
  HEARTBEAT_DUE,
  HOST_LIST_READ,
  SEND_TO_PEER,
} from '@samphireramp/membership';
import type {Declaration, WorkChange} from '@samphireramp/model';
import {SHARD_HELD} from '@samphireramp/ownership';
import {envelopeBytes} from '@samphireramp/peer-grpc';
import {chooseBestFit} from '@samphireramp/placement';
import {TASKS} from '@samphireramp/scheduling';
import {buildDeclaration} from '@samphireramp/testing';
import {createBenchHost, BENCH_HOST} from './createBenchHost';

/**
 * What grows with tasks, workers, hosts and changes: memory, bytes and time at
 * three sizes each. Run with `npm run bench:slopes`.
 */

const SHARD = 'tema/0';

function configure(kernel: Kernel, declaration: Declaration): void {
  const body = {
    changeId: 'bench',
    author: 'bench',
    expectedRevision: 0,
    declaration,
  };
  const records = [{offset: 0, appendedAt: 0, body}];
  kernel.dispatch(CONFIGURATION_READ, {
    page: {records, next: 1, oldest: 0},
    from: 0,
  });
}

function buildWork(jobs: number): WorkChange[] {
  return Array.from({length: jobs}, (_, index) => ({
    type: 'job' as const,
    job: {
      key: `tema~2f1c7a52-7a0c-4b5c-9a55-${index}`,
      shardId: SHARD,
      workload: 'reconciliation',
      kind: 'batch' as const,
      team: 'shop',
      member: 'till',
      tasks: 1,
      input: {runMillis: 1000},
      acceptedAt: 1_700_000_000_000,
      cancelled: false,
      durability: 'two-hosts' as const,
    },
  }));
}

function endOf(change: WorkChange): WorkChange[] {
  if (change.type !== 'job') {
    return [];
  }
  const {key, shardId} = change.job;
  const task = {
    taskId: `${key}/0`,
    jobKey: key,
    state: 'succeeded' as const,
    attempt: 1,
    worker: 'tema-w12',
  };
  return [{type: 'task', shardId, task}];
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function print(fields: Record<string, string | number>): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
}

/** Memory of queued tasks, and the time to take them over. */
function measureTasks(tasks: number): void {
  const kernel = createBenchHost(chooseBestFit);
  configure(kernel, buildDeclaration({workersInZone: 50}));
  kernel.dispatch(SHARD_HELD, {shardId: SHARD, term: 1});
  const changes = buildWork(tasks);
  const before = heapBytes();
  const startedAt = performance.now();
  kernel.dispatch(SHARD_RECOVERED, {
    shardId: SHARD,
    changes,
    isComplete: true,
    isLogRead: true,
  });
  const millis = performance.now() - startedAt;
  const bytes = heapBytes() - before;
  const count = kernel.read(TASKS).size;
  const keeps = kernel.read(REPLICAS).countOf(SHARD);
  print({
    measure: 'tasks',
    tasks: count + keeps,
    heap_bytes_each: Math.round(bytes / tasks),
    recovery_millis: millis.toFixed(1),
  });
}

/** Bytes of one task's whole life, to the log and to the second host. */
function measureRecords(jobs: number): void {
  const accepted = buildWork(jobs);
  const all = [...accepted, ...accepted.flatMap(endOf)];
  const batch = {writer: 'host.1', sequence: 1, snapshot: false, changes: all};
  const logBytes = JSON.stringify(batch).length;
  const message = {
    type: 'replicate' as const,
    shardId: SHARD,
    copyId: 'host.1/host.2/1',
    after: 0,
    upTo: all.length,
    changes: all,
  };
  const peerBytes = envelopeBytes('host', 'tema', [message]);
  print({
    measure: 'records',
    jobs,
    log_bytes_each: Math.round(logBytes / jobs),
    peer_bytes_each: Math.round(peerBytes / jobs),
  });
}

/** Time and bytes of one change of configuration. */
function measureConfiguration(workers: number): void {
  const declaration = buildDeclaration({workersInZone: workers});
  const kernel = createBenchHost(chooseBestFit);
  const startedAt = performance.now();
  configure(kernel, declaration);
  const millis = performance.now() - startedAt;
  const revision = {
    revision: 1,
    changeId: 'bench',
    author: 'bench',
    declaration,
  };
  print({
    measure: 'configuration',
    workers,
    apply_millis: millis.toFixed(1),
    log_bytes: JSON.stringify(declaration).length,
    peer_bytes: envelopeBytes('host', 'tema', [{type: 'revision', revision}]),
  });
}

/** Time and bytes of one beat to all who get it. */
function measureHosts(hosts: number): void {
  const kernel = createBenchHost(chooseBestFit);
  const zones = 11;
  const listed = Array.from({length: hosts}, (_, index) => ({
    name: `host-${index}`,
    zone: index % zones === 0 ? BENCH_HOST.zone : `zone-${index % zones}`,
    peerAddress: '127.0.0.1:1',
    state: 'live' as const,
  }));
  kernel.dispatch(HOST_LIST_READ, listed);
  let beats = 0;
  let bytes = 0;
  kernel.registerEffect(SEND_TO_PEER, ({message}) => {
    beats++;
    bytes += envelopeBytes('host-1', 'tema', [message]);
  });
  const rounds = 200;
  const startedAt = performance.now();
  for (let round = 0; round < rounds; round++) {
    kernel.dispatch(HEARTBEAT_DUE, undefined);
    kernel.dispatch(JOURNAL_TICK, undefined);
  }
  const micros = ((performance.now() - startedAt) * 1000) / rounds;
  print({
    measure: 'hosts',
    hosts,
    peers_each_beat: beats / rounds,
    bytes_each_beat: Math.round(bytes / rounds),
    micros_each_beat: Math.round(micros),
  });
}

[1000, 5000, 10_000, 20_000].forEach(measureTasks);
[100, 1000, 10_000].forEach(measureRecords);
[30, 1000, 10_000, 22_000].forEach(measureConfiguration);
[7, 110, 440].forEach(measureHosts);
