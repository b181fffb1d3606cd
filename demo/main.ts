import {
  type HostAnswer,
  type Platform,
  type SiteProcessHost,
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
} from '@samphireramp/testing';
import type {Job} from '@samphireramp/jobs';
import {join} from 'node:path';

const PATIENCE_MILLIS = 30_000;
const HOSTS = 3;
const WORKERS = 4;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

const CHAIN = buildJob(
  '00000000000000a1',
  [
    buildStep({count: 4, estimateMillis: 400}),
    buildStep({count: 2, estimateMillis: 400, after: [0]}),
  ],
  {policy: QUEUE},
);
const GANG = buildJob(
  '00000000000000a2',
  [buildStep({count: 4, estimateMillis: 800, isGang: true})],
  {policy: QUEUE},
);
const SERVICE = buildJob(
  '00000000000000a3',
  [buildStep({count: 2, isService: true})],
  {policy: QUEUE},
);

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function show(what: string, {status, text}: HostAnswer): void {
  say(`${what}: ${status} ${text.trim()}`);
}

/** Follows a job at a host until it is in a wanted state. */
async function follow(
  host: SiteProcessHost,
  job: Job,
  wanted: string,
): Promise<boolean> {
  let state = '';
  return waitFor(async () => {
    const now = await stateAt(host.callerAddress, job);
    if (now !== state) {
      state = now;
      say(`  job ${job.id} at ${host.name}: ${state}`);
    }
    return state === wanted;
  }, PATIENCE_MILLIS);
}

/** Takes jobs of each kind through a site that loses its holder meanwhile. */
async function play(
  platform: Platform,
  hosts: readonly SiteProcessHost[],
  holder: SiteProcessHost,
): Promise<boolean> {
  const [first, second] = hosts.filter(host => host !== holder);
  const submit = (host: SiteProcessHost, job: Job) =>
    submitAt(platform, host.callerAddress, job);
  show('a job of two steps', await submit(first, CHAIN));
  show('the same again', await submit(second, CHAIN));
  const isChainDone = await follow(second, CHAIN, 'completed');

  show('a gang of four', await submit(first, GANG));
  show('a service', await submit(first, SERVICE));
  await follow(second, GANG, 'running');
  say(`${holder.name} holds the site and is killed`);
  holder.process.kill('SIGKILL');
  await holder.ended;
  const isGangDone = await follow(second, GANG, 'completed');
  const isServing = await follow(second, SERVICE, 'running');
  show(
    'cancel of the service',
    await cancelAt(platform, first.callerAddress, SERVICE),
  );
  const isCancelled = await follow(second, SERVICE, 'cancelled');

  const wrong = await callHost(first.callerAddress, 'POST', '/queue/zz', {});
  show('a wrong request', wrong);
  first.process.kill('SIGTERM');
  const status = await first.ended;
  say(`${first.name} was told to stop and ended with status ${status}`);
  say(`broken promises: ${platform.checker.violations.join('; ') || 'none'}`);
  return (
    isChainDone &&
    isGangDone &&
    isServing &&
    isCancelled &&
    wrong.status === 400 &&
    status === 0 &&
    platform.checker.violations.length === 0
  );
}

/** Starts a platform of stand-ins and a site on it, and stops both. */
async function main(): Promise<boolean> {
  const platform = await startPlatform({
    workers: WORKERS,
    hosts: HOSTS,
    capacity: CAPACITY,
    configuration: encodeConfiguration([QUEUE], 1),
    script: (job, place) => {
      const step = job.steps[place.step];
      const workMillis = step.isService ? Infinity : step.estimateMillis;
      return {step, workMillis, fails: () => false};
    },
  });
  const program = join(import.meta.dirname, 'samphireramp-site.mjs');
  const site = await startSiteProcesses(platform, HOSTS, program);
  try {
    say(`${HOSTS} hosts, each a process, on a platform of ${WORKERS} workers`);
    for (const host of site.hosts) {
      await waitFor(
        async () => (await readinessOf(host)) === 200,
        PATIENCE_MILLIS,
      );
    }
    const holder = await findHolder(site, PATIENCE_MILLIS);
    return holder !== undefined && (await play(platform, site.hosts, holder));
  } finally {
    await site.stop();
    platform.stop();
  }
}

const isGood = await main();
say(isGood ? 'the demo went well' : 'the demo went wrong');
process.exitCode = isGood ? 0 : 1;
