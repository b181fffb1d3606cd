import {type Job, isFinal, jobStateSchema} from '@samphireramp/jobs';
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createRandom} from '../seededRandom';
import {
  type SiteProcesses,
  buildJob,
  buildPolicy,
  cancelAt,
  drawSteps,
  encodeConfiguration,
  readinessOf,
  startPlatform,
  startSiteProcesses,
  stateAt,
  submitAt,
} from '../site';
import {waitFor} from '../waitFor';
import {type Draws, FAULTS, type SoakSite} from './soakFaults';
import {type Link, startLink} from './startLink';

const HOSTS = 3;
const WORKERS = 6;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const PATIENCE_MILLIS = 20_000;
/** Bounds in time hold from this long after the last fault. */
const CONTACT_MILLIS = 5000;
/** Accepted jobs end within this time after the storm. */
const FINISH_MILLIS = 60_000;
const CALLER_TRIES = 30;
const POLICIES = [
  buildPolicy({name: 'urgent', priority: 0, targetMillis: 500}),
  buildPolicy({
    name: 'advised',
    advice: {decisionMillis: 20, perWorkerMillis: 2, validityMillis: 2500},
  }),
  buildPolicy({name: 'batch', priority: 2, maxAttempts: 6}),
];

/** How a soak runs. */
export interface SoakOptions {
  readonly seed: number;
  /** The built daemon. */
  readonly program: string;
  readonly stormMillis: number;
  /** Mean time between faults. */
  readonly faultEveryMillis: number;
  readonly jobs: number;
  /** Where the logs of a run with findings go; undefined for nowhere. */
  readonly logFolder?: string;
}

/** What a run of the soak came to. */
export interface SoakReport {
  readonly findings: readonly string[];
  readonly accepted: number;
  readonly faults: readonly string[];
}

/** Runs the built program as processes, under faults drawn from a seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = createRandom(options.seed);
  const draws: Draws = {
    random,
    between: (least, most) => least + Math.floor(random() * (most - least + 1)),
    pick: list => list[Math.floor(random() * list.length)],
  };
  const fates: SoakSite['fates'] = {
    store: () => 'answered',
    order: () => 'answered',
  };
  let version = 1;
  const platform = await startPlatform({
    workers: WORKERS,
    hosts: HOSTS,
    capacity: CAPACITY,
    forbiddenWorkers: 2,
    configuration: encodeConfiguration(POLICIES, version),
    weather: {
      store: () => fates.store(),
      order: worker => fates.order(worker),
      lateMillis: () => draws.between(500, 5000),
    },
    script: (job, place) => {
      const step = job.steps[place.step];
      return {step, workMillis: step.estimateMillis, fails: () => false};
    },
  });
  const linksTo = (targets: Iterable<string>) =>
    Promise.all([...targets].map(startLink));
  const workerLinks = new Map<string, Link>();
  for (const worker of platform.workers) {
    const own = platform.workerAddresses.get(worker.id) ?? '';
    const link = await startLink(own);
    workerLinks.set(worker.id, link);
    platform.list(worker, {address: link.address});
  }
  const store = await linksTo(Array(HOSTS).fill(platform.storeAddress));
  const adviser = await linksTo(platform.adviserAddresses);
  const site = await startSiteProcesses(
    platform,
    HOSTS,
    options.program,
    index => ({store: store[index].address, adviser: adviser[index].address}),
  );
  const caller = await linksTo(site.hosts.map(host => host.callerAddress));

  const findings: string[] = [];
  const faults: string[] = [];
  const startedAt = performance.now();
  const note = (event: string) =>
    faults.push(`${Math.round(performance.now() - startedAt)} ${event}`);
  const told = new Set<string>();
  const soak: SoakSite = {
    platform,
    site,
    links: {store, adviser, caller, worker: workerLinks},
    fates,
    restart: (index, signal, pause) => void restart(index, signal, pause),
    reconfigure: () => {
      version++;
      note(`configuration ${version}`);
      platform.configure(encodeConfiguration(POLICIES, version));
    },
    note,
    later: (millis, run) => void setTimeout(run, millis),
  };

  async function restart(
    index: number,
    signal: 'SIGKILL' | 'SIGTERM',
    pause: number,
  ): Promise<void> {
    const host = site.hosts[index];
    if (told.has(host.name)) {
      return;
    }
    told.add(host.name);
    note(`${host.name} ${signal}`);
    host.process.kill(signal);
    // A stopped process takes no signal but this one until it goes on.
    host.process.kill('SIGCONT');
    const wasUp = host.isUp;
    const status = await host.ended;
    if (signal === 'SIGTERM' && status !== 0 && wasUp) {
      findings.push(`${host.name} ended with ${status} when told to stop`);
    }
    await sleep(pause);
    site.restart(host);
    watch(index);
    told.delete(host.name);
  }

  function watch(index: number): void {
    const host = site.hosts[index];
    void host.ended.then(status => {
      if (!told.has(host.name)) {
        findings.push(`${host.name} ended by itself with ${status}`);
      }
    });
  }

  site.hosts.forEach((_, index) => watch(index));
  const anyCaller = () => draws.pick(caller).address;
  const jobs = Array.from({length: options.jobs}, (_, index) =>
    buildJob(
      index.toString(16).padStart(16, '0'),
      drawSteps(random, draws.between),
      {
        policy: draws.pick(POLICIES),
      },
    ),
  );

  /** Hands a job in until it is accepted, each time at any host. */
  async function handIn(job: Job): Promise<void> {
    await sleep(draws.between(0, options.stormMillis));
    for (let tries = 0; tries < CALLER_TRIES; tries++) {
      const status = await submitAt(platform, anyCaller(), job).then(
        answer => answer.status,
        () => 0,
      );
      if (status === 200) {
        break;
      }
      if (![0, 503, 504].includes(status)) {
        findings.push(`${job.id} was answered ${status}`);
      }
      await sleep(draws.between(50, 800));
    }
    if (draws.random() < 0.1) {
      await sleep(draws.between(0, 1500));
      await cancelAt(platform, anyCaller(), job).catch(() => undefined);
    }
  }

  async function storm(): Promise<void> {
    const end = performance.now() + options.stormMillis;
    while (performance.now() < end) {
      await sleep(-Math.log(1 - random()) * options.faultEveryMillis);
      FAULTS[draws.pick(Object.keys(FAULTS))](soak, draws);
    }
  }

  /** Ends of faults that were begun are on their way; nothing new begins. */
  async function calmDown(): Promise<void> {
    await sleep(CONTACT_MILLIS);
    await waitFor(() => told.size === 0, PATIENCE_MILLIS);
    fates.store = () => 'answered';
    fates.order = () => 'answered';
    for (const link of [
      ...store,
      ...adviser,
      ...caller,
      ...workerLinks.values(),
    ]) {
      link.mode = 'open';
    }
    site.hosts.forEach(host => host.process.kill('SIGCONT'));
    platform.workers.forEach(worker => {
      worker.isStuck = false;
    });
    const calmAt = performance.now() + CONTACT_MILLIS;
    platform.checker.isCalm = () => performance.now() > calmAt;
  }

  try {
    for (const host of site.hosts) {
      if (
        !(await waitFor(
          async () => (await readinessOf(host)) === 200,
          PATIENCE_MILLIS,
        ))
      ) {
        findings.push(`${host.name} never was ready`);
      }
    }
    await Promise.all([storm(), ...jobs.map(handIn)]);
    await calmDown();
    await checkEnds(site, jobs, platform.checker, findings);
  } finally {
    site.hosts.forEach(host => told.add(host.name));
    await site.stop();
    [...store, ...adviser, ...caller, ...workerLinks.values()].forEach(link =>
      link.close(),
    );
    platform.stop();
  }
  findings.push(...platform.checker.violations);
  if (findings.length > 0 && options.logFolder !== undefined) {
    keepLogs(options, site, [...faults, ...findings]);
  }
  const accepted = [...platform.checker.jobs.values()].filter(
    job => job.acceptedAt !== undefined,
  ).length;
  return {findings, accepted, faults};
}

/** Waits until every host shows the end of each accepted job. */
async function checkEnds(
  site: SiteProcesses,
  jobs: readonly Job[],
  judge: {
    readonly jobs: ReadonlyMap<string, {acceptedAt: number | undefined}>;
  },
  findings: string[],
): Promise<void> {
  const giveUpAt = performance.now() + FINISH_MILLIS;
  for (const job of jobs) {
    if (judge.jobs.get(job.id)?.acceptedAt === undefined) {
      continue;
    }
    for (const host of site.hosts) {
      let state = '';
      const isOver = await waitFor(
        async () => {
          state = await stateAt(host.callerAddress, job).catch(String);
          const parsed = jobStateSchema.safeParse(state);
          return parsed.success && isFinal(parsed.data);
        },
        Math.max(100, giveUpAt - performance.now()),
      );
      if (!isOver) {
        findings.push(`${job.id} is ${state} at ${host.name}`);
      }
    }
  }
}

function keepLogs(
  {seed, logFolder = '.'}: SoakOptions,
  site: SiteProcesses,
  lines: readonly string[],
): void {
  const folder = join(logFolder, `seed-${seed}`);
  mkdirSync(folder, {recursive: true});
  writeFileSync(join(folder, 'faults.txt'), lines.join('\n'));
  for (const host of site.hosts) {
    writeFileSync(join(folder, `${host.name}.log`), host.output);
  }
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
