import {spawnSync} from 'node:child_process';
import t from 'tap';
import {
  type Platform,
  type SiteProcessHost,
  type SiteProcesses,
  DEFAULT_POLICY,
  buildJob,
  buildStep,
  callHost,
  cancelAt,
  encodeConfiguration,
  waitForHolder,
  readReadiness,
  startPlatform,
  startSiteProcesses,
  readJobState,
  submitAt,
  waitFor,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const HOST_COUNT = 3;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const STEPS = [buildStep({count: 2}), buildStep({count: 2, after: [0]})];
/** Duration of each task, unless a test sets another. */
const TASK_MILLIS = 400;
/** Duration of the tasks of a job that is cancelled while it runs. */
const LONG_TASK_MILLIS = 20_000;
/** Limit of each wait for a condition, unless a test sets another. */
const TIMEOUT_MILLIS = 20_000;
/** Every host reports a state within this time after another host does. */
const PROPAGATION_MILLIS = 3000;

async function startSite(
  workMillis = TASK_MILLIS,
): Promise<{platform: Platform; site: SiteProcesses}> {
  const platform = await startPlatform({
    workers: 3,
    hosts: HOST_COUNT,
    capacity: CAPACITY,
    configuration: encodeConfiguration([DEFAULT_POLICY], 3),
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis,
      fails: () => false,
    }),
  });
  const site = await startSiteProcesses(platform, HOST_COUNT, PROGRAM);
  for (const host of site.hosts) {
    await waitUntil(async () => (await readReadiness(host)) === 200);
  }
  return {platform, site};
}

/** Throws unless the condition becomes true within the timeout. */
async function waitUntil(
  condition: () => Promise<boolean> | boolean,
  timeoutMillis = TIMEOUT_MILLIS,
): Promise<void> {
  if (!(await waitFor(condition, timeoutMillis))) {
    throw new Error(
      `condition not met within ${timeoutMillis} ms: ${condition.toString()}`,
    );
  }
}

void t.test('a job completes on hosts that run as processes', async t => {
  const {platform, site} = await startSite();
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const job = buildJob('00000000000000a1', STEPS, {policy: DEFAULT_POLICY});
  t.equal((await submitAt(platform, first.callerAddress, job)).status, 200);
  t.equal(
    (await submitAt(platform, second.callerAddress, job)).status,
    200,
    'a repeated submission is accepted',
  );
  await waitUntil(
    async () => (await readJobState(second.callerAddress, job)) === 'completed',
  );
  // Each host answers from its own copy of the journal.
  await waitUntil(
    async () => (await readJobState(first.callerAddress, job)) === 'completed',
    PROPAGATION_MILLIS,
  );
  t.equal(platform.checker.countStarts(job.id), 4);
  t.same(platform.checker.violations, []);

  const {callerAddress} = first;
  const pending = await callHost(callerAddress, 'GET', '/queue/');
  t.same(JSON.parse(pending.text), {pending: 0});
  t.equal((await callHost(callerAddress, 'GET', '/nowhere/')).status, 404);
  const invalidId = await callHost(callerAddress, 'POST', '/queue/zz', {});
  t.match(invalidId, {status: 400, text: /16 hexadecimal digits/});
  const invalidBody = await callHost(
    callerAddress,
    'POST',
    '/queue/00000000000000ff',
    '{',
  );
  t.match(invalidBody, {status: 400, text: /not a job/});
});

void t.test('a killed holder is replaced, and nothing runs twice', async t => {
  const {platform, site} = await startSite(1500);
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const holder = await waitForHolder(site, TIMEOUT_MILLIS);
  if (holder === undefined) {
    throw new Error('no host became the holder');
  }
  const follower = site.hosts.find(host => host !== holder) as SiteProcessHost;
  const jobs = ['b1', 'b2', 'b3'].map(id =>
    buildJob(id.padStart(16, '0'), STEPS, {policy: DEFAULT_POLICY}),
  );
  for (const job of jobs) {
    t.equal(
      (await submitAt(platform, follower.callerAddress, job)).status,
      200,
    );
  }
  await waitUntil(
    async () =>
      (await readJobState(follower.callerAddress, jobs[0])) === 'running',
  );
  holder.process.kill('SIGKILL');
  t.equal(await holder.ended, 'SIGKILL');
  for (const job of jobs) {
    await waitUntil(
      async () =>
        (await readJobState(follower.callerAddress, job)) === 'completed',
    );
    t.equal(platform.checker.countStarts(job.id), 4);
  }
  site.restart(holder);
  await waitUntil(async () => (await readReadiness(holder)) === 200);
  t.equal(await readJobState(holder.callerAddress, jobs[0]), 'completed');
  t.same(platform.checker.violations, []);
});

void t.test('cancels, signals and invalid settings', async t => {
  const {platform, site} = await startSite(LONG_TASK_MILLIS);
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const [first, second] = site.hosts;
  const job = buildJob('00000000000000c1', STEPS, {policy: DEFAULT_POLICY});
  await submitAt(platform, first.callerAddress, job);
  await waitUntil(
    async () => (await readJobState(second.callerAddress, job)) === 'running',
  );
  const cancelled = await cancelAt(platform, second.callerAddress, job);
  t.equal(cancelled.status, 200);
  await waitUntil(
    async () => (await readJobState(first.callerAddress, job)) === 'cancelled',
  );
  first.process.kill('SIGHUP');
  await waitUntil(async () => first.output.includes('event=reloaded'));
  first.process.kill('SIGTERM');
  await waitUntil(async () => (await readReadiness(first)) === 503);
  t.equal(
    await readJobState(first.callerAddress, job),
    'cancelled',
    'status is served while the host stops',
  );
  t.equal(await first.ended, 0);
  t.match(
    first.output,
    /event=started[\s\S]*event=stopping[\s\S]*event=stopped/,
  );

  const withoutFlag = spawnSync(process.execPath, [PROGRAM], {
    encoding: 'utf8',
  });
  t.equal(withoutFlag.status, 2);
  t.match(withoutFlag.stderr, /^samphireramp-site: --node-file is missing/);
  const withMissingFile = spawnSync(
    process.execPath,
    [PROGRAM, '--node-file=/none'],
    {
      encoding: 'utf8',
    },
  );
  t.equal(withMissingFile.status, 2);
  t.match(withMissingFile.stderr, /^samphireramp-site: \/none: ENOENT/);
});
