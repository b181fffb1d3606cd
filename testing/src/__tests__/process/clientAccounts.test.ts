import {createHash} from 'node:crypto';
import type {StreamName} from '@samphireramp/stream-log';
import t from 'tap';
import {request} from 'undici';
import {
  DEFAULT_POLICY,
  buildJob,
  buildStep,
  encodeConfiguration,
  readReadiness,
  startPlatform,
  startSiteProcesses,
  waitFor,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const HOST_COUNT = 2;
const TASK_MILLIS = 3000;
const TIMEOUT_MILLIS = 20_000;
const JOB = buildJob('00000000000000a1', [buildStep()], {
  policy: DEFAULT_POLICY,
});
const PATH = `/${DEFAULT_POLICY.name}/${JOB.id}`;
const FIRST_KEY = 'key-of-the-first-account';
const SECOND_KEY = 'key-of-the-second-account';
const UNKNOWN_KEY = 'key-of-no-account';
/** Streams that the hosts write. */
const WRITTEN_STREAMS: readonly StreamName[] = [
  'requests',
  'progress',
  'states',
  'hosts',
];

/** A configuration in which the first account has these keys. */
function configurationWith(firstKeys: readonly string[], version: number) {
  return {
    ...encodeConfiguration([DEFAULT_POLICY], version),
    tenants: [
      {name: 'first', api_keys: firstKeys, weight: 1},
      {name: 'second', api_keys: [SECOND_KEY], weight: 1},
    ],
  };
}

async function startSite() {
  const platform = await startPlatform({
    workers: 2,
    hosts: HOST_COUNT,
    capacity: {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0},
    configuration: configurationWith([FIRST_KEY], 1),
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: TASK_MILLIS,
      fails: () => false,
    }),
  });
  const site = await startSiteProcesses(platform, HOST_COUNT, PROGRAM);
  const call = async (
    host: number,
    method: 'GET' | 'POST' | 'DELETE',
    keys: string | string[] = [],
  ): Promise<string> => {
    const steps = [{cpu: 1000, memory_request_mb: 1000}];
    const answer = await request(
      `http://${site.hosts[host].callerAddress}${PATH}`,
      {
        method,
        headers: {host: 'jobs.example', 'x-api-key': keys},
        body: method === 'POST' ? JSON.stringify({steps}) : undefined,
      },
    );
    return `${answer.statusCode} ${await answer.body.text()}`.trim();
  };
  return {platform, site, call};
}

void t.test('calls, jobs and logs of two accounts', async t => {
  const {platform, site, call} = await startSite();
  t.teardown(async () => {
    await site.stop();
    platform.stop();
  });
  const everyHost = async (
    expected: string,
    ...args: [method: 'GET' | 'POST' | 'DELETE', keys?: string | string[]]
  ) => {
    const matches = async () => {
      const answers = [await call(0, ...args), await call(1, ...args)];
      return answers.every(answer => answer === expected);
    };
    t.ok(await waitFor(matches, TIMEOUT_MILLIS), `${args[0]}: ${expected}`);
  };
  for (const host of site.hosts) {
    const isReady = async () => (await readReadiness(host)) === 200;
    t.ok(await waitFor(isReady, TIMEOUT_MILLIS));
  }
  platform.checker.registerJob(JOB);
  for (const method of ['POST', 'GET', 'DELETE'] as const) {
    t.equal(await call(0, method), '401');
    t.equal(await call(0, method, ''), '401');
    t.equal(await call(0, method, UNKNOWN_KEY), '401');
    t.match(await call(0, method, [FIRST_KEY, SECOND_KEY]), /^400/);
  }
  t.equal(platform.checker.countStarts(JOB.id), 0);
  t.equal(await call(0, 'POST', FIRST_KEY), '200 {}');
  await everyHost('200 {"state":"running"}', 'GET', FIRST_KEY);
  await everyHost('410', 'GET', SECOND_KEY);
  await everyHost('410', 'DELETE', SECOND_KEY);
  // The key is withdrawn while the job runs, which goes on.
  platform.configure(configurationWith([], 2));
  await everyHost('401', 'GET', FIRST_KEY);
  t.equal(await call(1, 'DELETE', FIRST_KEY), '401');
  // An invalid configuration, with a key twice, changes nothing.
  platform.configure(configurationWith([FIRST_KEY, SECOND_KEY], 3));
  const isReported = () =>
    site.hosts.every(({output}) => output.includes('api_keys.0.duplicate'));
  t.ok(await waitFor(isReported, TIMEOUT_MILLIS));
  t.equal(await call(0, 'GET', FIRST_KEY), '401');
  platform.configure(configurationWith([FIRST_KEY], 4));
  await everyHost('200 {"state":"completed"}', 'GET', FIRST_KEY);
  t.equal(platform.checker.countStarts(JOB.id), 1);

  const written = WRITTEN_STREAMS.flatMap(stream =>
    Array.from({length: platform.partitions}, (_, partition) =>
      platform.log.records(stream, partition).map(({value}) => value),
    ).flat(),
  );
  const texts = [
    ...site.hosts.map(({output}) => output),
    ...written.map(String),
  ];
  t.ok(texts.some(text => text.includes('"account":"first"')));
  t.ok(texts.some(text => text.includes('event=call-rejected')));
  for (const key of [FIRST_KEY, SECOND_KEY, UNKNOWN_KEY]) {
    const digest = createHash('sha256').update(key);
    const hidden = [key, digest.copy().digest('hex'), digest.digest('base64')];
    const leaks = texts.filter(text => hidden.some(it => text.includes(it)));
    t.same(leaks, [], 'neither a key nor its digest is logged or stored');
  }
});
