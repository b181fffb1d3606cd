import {spawnSync} from 'node:child_process';
import t from 'tap';
import {
  type Platform,
  type SiteProcessHost,
  type SiteProcesses,
  QUEUE,
  buildJob,
  buildStep,
  callHost,
  cancelAt,
  encodeConfiguration,
  findHolder,
  readinessOf,
  startPlatform,
  startSiteProcesses,
  stateAt,
  submitAt,
  waitFor,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const HOSTS = 3;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const STEPS = [buildStep({count: 2}), buildStep({count: 2, after: [0]})];
const WORK_MILLIS = 400;
const LONG_MILLIS = 20_000;
const PATIENCE_MILLIS = 20_000;
/** What one host shows, every other shows within this time. */
const VISIBLE_MILLIS = 3000;

async function startAll(
  workMillis = WORK_MILLIS,
): Promise<{platform: Platform; site: SiteProcesses}> {
  const platform = await startPlatform({
    workers: 3,
    hosts: HOSTS,
    capacity: CAPACITY,
    configuration: encodeConfiguration([QUEUE], 3),
    script: (job, place) => ({
      step: job.steps[place.step],
      workMillis,
      fails: () => false,
    }),
  });
  const site = await startSiteProcesses(platform, HOSTS, PROGRAM);
  for (const host of site.hosts) {
    await until(async () => (await readinessOf(host)) === 200);
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

void t.test('the whole path, as processes', async t => {
  const {platform, site} = await startAll();
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const job = buildJob('00000000000000a1', STEPS, {policy: QUEUE});
  t.equal((await submitAt(platform, first.callerAddress, job)).status, 200);
  t.equal(
    (await submitAt(platform, second.callerAddress, job)).status,
    200,
    'a repeat',
  );
  await until(
    async () => (await stateAt(second.callerAddress, job)) === 'completed',
  );
  // Each host shows its own copy of the journal, which it reads by itself.
  await until(
    async () => (await stateAt(first.callerAddress, job)) === 'completed',
    VISIBLE_MILLIS,
  );
  t.equal(platform.checker.startsOf(job.id), 4);
  t.same(platform.checker.violations, []);

  const {callerAddress} = first;
  const pending = await callHost(callerAddress, 'GET', '/queue/');
  t.same(JSON.parse(pending.text), {pending: 0});
  t.equal((await callHost(callerAddress, 'GET', '/nowhere/')).status, 404);
  const bad = await callHost(callerAddress, 'POST', '/queue/zz', {});
  t.match(bad, {status: 400, text: /16 hexadecimal digits/});
  const none = await callHost(
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
  const holder = await findHolder(site, PATIENCE_MILLIS);
  if (holder === undefined) {
    throw new Error('no host holds the site');
  }
  const other = site.hosts.find(host => host !== holder) as SiteProcessHost;
  const jobs = ['b1', 'b2', 'b3'].map(id =>
    buildJob(id.padStart(16, '0'), STEPS, {policy: QUEUE}),
  );
  for (const job of jobs) {
    t.equal((await submitAt(platform, other.callerAddress, job)).status, 200);
  }
  await until(
    async () => (await stateAt(other.callerAddress, jobs[0])) === 'running',
  );
  holder.process.kill('SIGKILL');
  t.equal(await holder.ended, 'SIGKILL');
  for (const job of jobs) {
    await until(
      async () => (await stateAt(other.callerAddress, job)) === 'completed',
    );
    t.equal(platform.checker.startsOf(job.id), 4);
  }
  site.restart(holder);
  await until(async () => (await readinessOf(holder)) === 200);
  t.equal(await stateAt(holder.callerAddress, jobs[0]), 'completed');
  t.same(platform.checker.violations, []);
});

void t.test('cancels, signals and wrong settings', async t => {
  const {platform, site} = await startAll(LONG_MILLIS);
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const job = buildJob('00000000000000c1', STEPS, {policy: QUEUE});
  await submitAt(platform, first.callerAddress, job);
  await until(
    async () => (await stateAt(second.callerAddress, job)) === 'running',
  );
  const cancelled = await cancelAt(platform, second.callerAddress, job);
  t.equal(cancelled.status, 200);
  await until(
    async () => (await stateAt(first.callerAddress, job)) === 'cancelled',
  );
  first.process.kill('SIGHUP');
  await until(async () => first.output.includes('event=reloaded'));
  first.process.kill('SIGTERM');
  await until(async () => (await readinessOf(first)) === 503);
  t.equal(
    await stateAt(first.callerAddress, job),
    'cancelled',
    'served while it stops',
  );
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
