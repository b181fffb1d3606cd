import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Job} from '@samphireramp/jobs';
import t, {type Test} from 'tap';
import {
  type Platform,
  type SiteProcessHost,
  type SiteProcesses,
  DEFAULT_POLICY,
  buildJob,
  buildStep,
  callHost,
  encodeConfiguration,
  readJobState,
  readReadiness,
  startPlatform,
  startSiteProcesses,
  submitAt,
  waitFor,
  waitForHolder,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const HOST_COUNT = 3;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const TASK_MILLIS = 1500;
const TIMEOUT_MILLIS = 20_000;
/** Interval at which the other writer writes all of its entries again. */
const ODD_INTERVAL_MILLIS = 100;
/** Interval at which a worker writes its entry. */
const HEARTBEAT_MILLIS = 1000;
/** Time for which the odd entries are the newest of their keys in a take-over. */
const SILENCE_MILLIS = 800;
/** So many invalid elements overflow the stack of the library that checks them. */
const MANY_NUMBERS = `[${'1,'.repeat(130_000)}1]`;
const ENTRY = {
  service: 'pool',
  address: '127.0.0.1:9',
  zone: 'zone-a',
  state: 'ready',
  capacity: {cpu: 8000, memory_request_mb: 16_000, gpu: 0},
  labels: ['kind-a', 'rack-0'],
  born: 1_773_226_117_959,
};

/** Entries by their keys, none of which names a worker to use. */
function oddEntries(): Map<string, string> {
  const text = (change: object) => JSON.stringify({...ENTRY, ...change});
  return new Map([
    ['odd-bytes', '\ufffd{'],
    ['odd-nested', '['.repeat(100_000) + ']'.repeat(100_000)],
    ['odd-field', text({odd: 0}).replace('"odd":0', `"zone":${MANY_NUMBERS}`)],
    [
      'odd-labels',
      text({labels: 0}).replace('"labels":0', `"labels":${MANY_NUMBERS}`),
    ],
    ['odd-number', text({born: 0}).replace('"born":0', '"born":1e999')],
    ['odd-capacity', text({capacity: {cpu: 1e308, memory_request_mb: -1}})],
    ['odd-port', text({address: '127.0.0.1:99999'})],
    ['odd-address', text({address: 'http://a@127.0.0.1:9/#\r\n'})],
    ['odd-service', text({service: 'printing'})],
    ['', text({})],
    ['__proto__', text({service: 'printing'})],
    ['a\r\nb: c', text({})],
    ['w\u00f6rker', text({})],
    ['worker-0@1', text({born: undefined})],
    // The ids of the two workers that live.
    ['worker-0', text({address: '127.0.0.1:0'})],
    ['worker-1', '{'],
  ]);
}

/** Starts a server whose answers to the calls of a holder are odd. */
async function startOddWorker(t: Test): Promise<string> {
  const server = createServer((request, response) => {
    request.resume();
    response.end(`{"clock_ms":1,"running":${MANY_NUMBERS},"ended_runs":[]}`);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls `write` now and at an interval, until the test ends. */
function writeRepeatedly(t: Test, millis: number, write: () => void): void {
  write();
  const timer = setInterval(write, millis);
  t.teardown(() => clearInterval(timer));
}

async function startSite(
  t: Test,
): Promise<{platform: Platform; writeOddEntries: () => void}> {
  const platform = await startPlatform({
    workers: 2,
    hosts: HOST_COUNT,
    capacity: CAPACITY,
    configuration: encodeConfiguration([DEFAULT_POLICY], 3),
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: TASK_MILLIS,
      fails: () => false,
    }),
  });
  t.teardown(() => platform.stop());
  const address = await startOddWorker(t);
  const entries = oddEntries();
  entries.set('odd-answers', JSON.stringify({...ENTRY, address}));
  const writeOddEntries = () => {
    for (const [key, value] of entries) {
      platform.log.put('workers', key, Buffer.from(value));
    }
  };
  return {platform, writeOddEntries};
}

async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  if (!(await waitFor(condition, TIMEOUT_MILLIS))) {
    throw new Error(`condition not met: ${condition.toString()}`);
  }
}

/** Hands a job in again while it is refused, as callers do. */
async function submitUntilAccepted(
  platform: Platform,
  {callerAddress}: SiteProcessHost,
  job: Job,
): Promise<void> {
  await waitUntil(
    async () => (await submitAt(platform, callerAddress, job)).status === 200,
  );
}

async function findHolder(site: SiteProcesses): Promise<SiteProcessHost> {
  const holder = await waitForHolder(site, TIMEOUT_MILLIS);
  if (holder === undefined) {
    throw new Error('no host became the holder');
  }
  return holder;
}

/** Number of lines in which a host logged a malformed entry of a worker. */
function countLines(host: SiteProcessHost, worker: string): number {
  const line = new RegExp(`event=record-malformed [^\\n]*key=${worker} `, 'g');
  return [...host.output.matchAll(line)].length;
}

void t.test('odd entries of workers change nothing', async t => {
  const {platform, writeOddEntries} = await startSite(t);
  // The odd entries are the newest of their keys before any process reads.
  writeRepeatedly(t, ODD_INTERVAL_MILLIS, writeOddEntries);
  const site = await startSiteProcesses(platform, HOST_COUNT, PROGRAM);
  t.teardown(() => site.stop());
  for (const host of site.hosts) {
    await waitUntil(async () => (await readReadiness(host)) === 200);
  }
  const holder = await findHolder(site);
  const follower = site.hosts.find(host => host !== holder) as SiteProcessHost;
  let isHeard = true;
  writeRepeatedly(t, HEARTBEAT_MILLIS, () => {
    if (isHeard) {
      // Within the same read, an odd entry of the same key follows.
      platform.writeRegistryEntry(platform.workers[0]);
      writeOddEntries();
    }
  });
  const steps = [buildStep({count: 2}), buildStep({count: 2, after: [0]})];
  const policy = DEFAULT_POLICY;
  const job = buildJob('00000000000000d1', steps, {policy});
  await submitUntilAccepted(platform, follower, job);
  await waitUntil(
    async () => (await readJobState(follower.callerAddress, job)) === 'running',
  );
  isHeard = false;
  holder.process.kill('SIGKILL');
  t.equal(await holder.ended, 'SIGKILL');
  await new Promise(resolve => {
    setTimeout(resolve, SILENCE_MILLIS);
  });
  isHeard = true;
  await waitUntil(
    async () =>
      (await readJobState(follower.callerAddress, job)) === 'completed',
  );

  // Only the worker that no host knows so far is in this rack.
  const step = buildStep({requiredLabel: 'rack-1'});
  const later = buildJob('00000000000000d2', [step], {policy});
  await submitUntilAccepted(platform, follower, later);
  platform.writeRegistryEntry(platform.workers[1]);
  writeOddEntries();
  await waitUntil(
    async () =>
      (await readJobState(follower.callerAddress, later)) === 'completed',
  );

  const others = site.hosts.filter(host => host !== holder);
  t.ok(
    others.every(({process}) => process.exitCode === null),
    'no process ended by itself',
  );
  t.equal(platform.checker.countStarts(job.id), 4);
  t.equal(platform.checker.countStarts(later.id), 1);
  t.same(platform.checker.violations, []);
  for (const host of others) {
    t.ok(countLines(host, 'odd-port') <= 1, 'logged once, not once a write');
    t.notMatch(host.output, /event=(handler-error|worker-crashed)/);
  }
  const successor = await findHolder({...site, hosts: others});
  const metrics = await callHost(successor.metricsAddress, 'GET', '/metrics');
  const counted = /malformed_records_total\{stream="workers"\} (\d+)/;
  t.ok(Number(counted.exec(metrics.text)?.[1]) > 100, 'each one is counted');
  t.equal(countLines(successor, 'odd-port'), 1);
});
