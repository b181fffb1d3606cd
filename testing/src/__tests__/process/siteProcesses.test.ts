import {spawnSync} from 'node:child_process';
import t from 'tap';
import {request} from 'undici';
import {
  type Platform,
  type SiteProcessHost,
  type SiteProcesses,
  buildJob,
  buildPolicy,
  buildStep,
  startPlatform,
  startSiteProcesses,
  waitFor,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const QUEUE_HEADERS = {host: 'jobs.example'};
const WORK_MILLIS = 400;
const LONG_MILLIS = 20_000;
const PATIENCE_MILLIS = 20_000;
/** What one host shows, every other shows within this time. */
const VISIBLE_MILLIS = 3000;

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'queue',
      host: 'jobs.example',
      path_prefix: '/queue/',
      service: 'pool',
      priority: 0,
      max_attempts: 3,
      stretch: 2,
      target_latency_ms: 500,
      advice: {decision_ms: 5, per_worker_ms: 1, validity_ms: 2500},
    },
  ],
  services: [{name: 'pool', rejects_overload: false}],
  limits: {max_body_bytes: 10_000},
};

async function startAll(
  workMillis = WORK_MILLIS,
): Promise<{platform: Platform; site: SiteProcesses}> {
  const platform = await startPlatform({
    workers: 3,
    capacity: CAPACITY,
    configuration: CONFIGURATION,
    script: (job, place) => ({
      step: job.steps[place.step],
      workMillis,
      fails: () => false,
    }),
  });
  const site = await startSiteProcesses(platform, 3, PROGRAM);
  for (const host of site.hosts) {
    await until(async () => (await readiness(host)) === 200);
  }
  return {platform, site};
}

/** Fails the test unless something comes to hold in time. */
async function until(
  holds: () => Promise<boolean> | boolean,
  patienceMillis = PATIENCE_MILLIS,
): Promise<void> {
  if (!(await waitFor(holds, patienceMillis))) {
    throw new Error(`not in ${patienceMillis} ms: ${holds.toString()}`);
  }
}

async function readiness(host: SiteProcessHost): Promise<number> {
  return call(host.readinessAddress, 'GET', '/api/readiness').then(
    answer => answer.status,
    () => 0,
  );
}

async function call(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  content?: object | string,
): Promise<{status: number; text: string}> {
  const body = typeof content === 'object' ? JSON.stringify(content) : content;
  const headers = QUEUE_HEADERS;
  const answer = await request(`http://${address}${path}`, {
    method,
    headers,
    body,
  });
  return {status: answer.statusCode, text: await answer.body.text()};
}

/** Tells the judge of a job, and hands it in. */
async function submit(platform: Platform, host: SiteProcessHost, id: string) {
  const steps = [buildStep({count: 2}), buildStep({count: 2, after: [0]})];
  platform.judge.jobs.set(id, {
    job: buildJob(id, steps, {policy: buildPolicy()}),
    maxAttempts: 3,
    acceptedAt: undefined,
    openTries: 0,
    isRefused: false,
    isCancelAsked: false,
    cancelledAt: undefined,
  });
  const wire = [
    {count: 2, cpu: 1000, memory_request_mb: 1000, estimated_ms: 400},
    {count: 2, cpu: 1000, memory_request_mb: 1000, after: [0]},
  ];
  return call(host.callerAddress, 'POST', `/queue/${id}`, {
    specification: 'text',
    steps: wire,
  });
}

async function stateAt(host: SiteProcessHost, id: string): Promise<string> {
  const answer = await call(host.callerAddress, 'GET', `/queue/${id}`);
  return answer.status === 200
    ? (JSON.parse(answer.text) as {state: string}).state
    : String(answer.status);
}

async function holderOf(site: SiteProcesses): Promise<SiteProcessHost> {
  let holder: SiteProcessHost | undefined;
  await until(async () => {
    for (const host of site.hosts) {
      const answer = await call(host.metricsAddress, 'GET', '/metrics').catch(
        () => ({text: ''}),
      );
      if (answer.text.includes('samphireramp_is_holder 1')) {
        holder = host;
      }
    }
    return holder !== undefined;
  });
  return holder as SiteProcessHost;
}

void t.test('the whole path, as processes', async t => {
  const {platform, site} = await startAll();
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const id = '00000000000000a1';
  t.equal((await submit(platform, first, id)).status, 200);
  t.equal((await submit(platform, second, id)).status, 200, 'a repeat');
  await until(async () => (await stateAt(second, id)) === 'completed');
  // Each host shows its own copy of the journal, which it reads by itself.
  await until(
    async () => (await stateAt(first, id)) === 'completed',
    VISIBLE_MILLIS,
  );
  t.equal(platform.judge.startsOf(id), 4);
  t.same(platform.judge.violations, []);

  const {callerAddress} = first;
  const pending = await call(callerAddress, 'GET', '/queue/');
  t.same(JSON.parse(pending.text), {pending: 0});
  t.equal((await call(callerAddress, 'GET', '/nowhere/')).status, 404);
  const bad = await call(callerAddress, 'POST', '/queue/zz', {});
  t.match(bad, {status: 400, text: /16 hexadecimal digits/});
  const none = await call(
    callerAddress,
    'POST',
    '/queue/00000000000000ff',
    '{',
  );
  t.match(none, {status: 400, text: /not a job/});
});

void t.test('a killed holder is replaced, and nothing runs twice', async t => {
  const {platform, site} = await startAll(1500);
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const holder = await holderOf(site);
  const other = site.hosts.find(host => host !== holder) as SiteProcessHost;
  const ids = ['00000000000000b1', '00000000000000b2', '00000000000000b3'];
  for (const id of ids) {
    t.equal((await submit(platform, other, id)).status, 200);
  }
  await until(async () => (await stateAt(other, ids[0])) === 'running');
  holder.process.kill('SIGKILL');
  t.equal(await holder.ended, 'SIGKILL');
  for (const id of ids) {
    await until(async () => (await stateAt(other, id)) === 'completed');
    t.equal(platform.judge.startsOf(id), 4);
  }
  site.restart(holder);
  await until(async () => (await readiness(holder)) === 200);
  t.equal(await stateAt(holder, ids[0]), 'completed');
  t.same(platform.judge.violations, []);
});

void t.test('cancels, signals and wrong settings', async t => {
  const {platform, site} = await startAll(LONG_MILLIS);
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const id = '00000000000000c1';
  await submit(platform, first, id);
  await until(async () => (await stateAt(second, id)) === 'running');
  const cancelled = await call(second.callerAddress, 'DELETE', `/queue/${id}`);
  t.equal(cancelled.status, 200);
  await until(async () => (await stateAt(first, id)) === 'cancelled');
  first.process.kill('SIGHUP');
  await until(async () => first.output.includes('event=reloaded'));
  first.process.kill('SIGTERM');
  await until(async () => (await readiness(first)) === 503);
  t.equal(await stateAt(first, id), 'cancelled', 'served while it stops');
  t.equal(await first.ended, 0);
  t.match(
    first.output,
    /event=started[\s\S]*event=stopping[\s\S]*event=stopped/,
  );

  const missing = spawnSync(process.execPath, [PROGRAM], {encoding: 'utf8'});
  t.equal(missing.status, 2);
  t.match(missing.stderr, /^samphireramp-site: --node-file is missing/);
  const wrong = spawnSync(process.execPath, [PROGRAM, '--node-file=/none'], {
    encoding: 'utf8',
  });
  t.equal(wrong.status, 2);
  t.match(wrong.stderr, /^samphireramp-site: \/none: ENOENT/);
});
