import {
  type HostAnswer,
  ONE_QUEUE_CONFIGURATION,
  type Platform,
  type SiteProcessHost,
  buildStep,
  callHost,
  cancelAt,
  findHolder,
  readinessOf,
  startPlatform,
  startSiteProcesses,
  stateAt,
  submitAt,
  waitFor,
} from '@samphireramp/testing';
import {join} from 'node:path';

const PATIENCE_MILLIS = 30_000;
const HOSTS = 3;
const WORKERS = 4;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

const CHAIN = [
  buildStep({count: 4, estimateMillis: 400}),
  buildStep({count: 2, estimateMillis: 400, after: [0]}),
];
const GANG = [buildStep({count: 4, estimateMillis: 800, isGang: true})];
const SERVICE = [buildStep({count: 2, isService: true})];

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function show(what: string, {status, text}: HostAnswer): void {
  say(`${what}: ${status} ${text.trim()}`);
}

/** Follows a job at a host until it is in a wanted state. */
async function follow(
  host: SiteProcessHost,
  id: string,
  wanted: string,
): Promise<boolean> {
  let state = '';
  return waitFor(async () => {
    const now = await stateAt(host, id);
    if (now !== state) {
      state = now;
      say(`  job ${id} at ${host.name}: ${state}`);
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
  const [chain, gang, service] = ['a1', 'a2', 'a3'].map(id =>
    id.padStart(16, '0'),
  );
  show('a job of two steps', await submitAt(platform, first, chain, CHAIN));
  show('the same again', await submitAt(platform, second, chain, CHAIN));
  const isChainDone = await follow(second, chain, 'completed');

  show('a gang of four', await submitAt(platform, first, gang, GANG));
  show('a service', await submitAt(platform, first, service, SERVICE));
  await follow(second, gang, 'running');
  say(`${holder.name} holds the site and is killed`);
  holder.process.kill('SIGKILL');
  await holder.ended;
  const isGangDone = await follow(second, gang, 'completed');
  const isServing = await follow(second, service, 'running');
  show('cancel of the service', await cancelAt(platform, first, service));
  const isCancelled = await follow(second, service, 'cancelled');

  const wrong = await callHost(first.callerAddress, 'POST', '/queue/zz', {});
  show('a wrong request', wrong);
  first.process.kill('SIGTERM');
  const status = await first.ended;
  say(`${first.name} was told to stop and ended with status ${status}`);
  say(`broken promises: ${platform.judge.violations.join('; ') || 'none'}`);
  return (
    isChainDone &&
    isGangDone &&
    isServing &&
    isCancelled &&
    wrong.status === 400 &&
    status === 0 &&
    platform.judge.violations.length === 0
  );
}

/** Starts a platform of stand-ins and a site on it, and stops both. */
async function main(): Promise<boolean> {
  const platform = await startPlatform({
    workers: WORKERS,
    capacity: CAPACITY,
    configuration: ONE_QUEUE_CONFIGURATION,
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
