import {type Job, isFinalState, jobStateSchema} from '@samphireramp/jobs';
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
  readReadiness,
  startPlatform,
  startSiteProcesses,
  readJobState,
  submitAt,
} from '../site';
import {waitFor} from '../waitFor';
import {type RandomSource, FAULTS, type SoakTarget} from './soakFaults';
import {type TcpProxy, startTcpProxy} from './startTcpProxy';

const HOST_COUNT = 3;
const WORKER_COUNT = 6;
/** Resources of each worker. */
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
/** Hosts must become ready, and pending restarts end, within this time. */
const READY_TIMEOUT_MILLIS = 20_000;
/**
 * Time that pending faults get to end by themselves, and the time after the last
 * fault from which the time limits of the invariants apply.
 */
const RECOVERY_MILLIS = 5000;
/** Accepted jobs must end within this time after the faults are cleared. */
const COMPLETION_TIMEOUT_MILLIS = 60_000;
/** A job is submitted at most this many times. */
const MAX_SUBMIT_ATTEMPTS = 30;
const POLICIES = [
  buildPolicy({name: 'urgent', priority: 0, targetMillis: 500}),
  buildPolicy({
    name: 'advised',
    advice: {decisionMillis: 20, perWorkerMillis: 2, validityMillis: 2500},
  }),
  buildPolicy({name: 'batch', priority: 2, maxAttempts: 6}),
];

/** Parameters of one run of the soak. */
export interface SoakOptions {
  /**
   * Seeds one generator for all random choices. The order in which they draw from
   * it depends on timing, so that runs with the same seed may differ.
   */
  readonly seed: number;
  /** Path of the built daemon. */
  readonly program: string;
  /** How long faults are injected and jobs submitted. */
  readonly faultPhaseMillis: number;
  /** Mean of the exponentially distributed time between faults. */
  readonly meanFaultIntervalMillis: number;
  readonly jobCount: number;
  /** Folder for the logs of a run with findings; not written if undefined. */
  readonly logFolder?: string;
}

/** Result of one run of the soak. */
export interface SoakReport {
  /** Violated invariants, unexpected exits and answers, unfinished jobs. */
  readonly findings: readonly string[];
  /** Number of jobs that a host accepted. */
  readonly accepted: number;
  /** Injected faults, each with the milliseconds since the start. */
  readonly faults: readonly string[];
}

/**
 * Runs jobs on hosts that are processes of the built daemon, injects seeded
 * random faults, and checks the invariants and the final states of the jobs.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = createRandom(options.seed);
  const randomSource: RandomSource = {
    next: random,
    between: (min, max) => min + Math.floor(random() * (max - min + 1)),
    pick: list => list[Math.floor(random() * list.length)],
  };
  const callFaults: SoakTarget['callFaults'] = {
    store: () => 'answered',
    order: () => 'answered',
  };
  let configurationVersion = 1;
  const platform = await startPlatform({
    workers: WORKER_COUNT,
    hosts: HOST_COUNT,
    capacity: CAPACITY,
    forbiddenWorkersPerStep: 2,
    configuration: encodeConfiguration(POLICIES, configurationVersion),
    faultState: {
      store: () => callFaults.store(),
      order: worker => callFaults.order(worker),
      lateMillis: () => randomSource.between(500, 5000),
    },
    script: (job, runId) => {
      const step = job.steps[runId.step];
      return {step, workMillis: step.estimateMillis, fails: () => false};
    },
  });
  const startProxies = (targets: Iterable<string>) =>
    Promise.all([...targets].map(startTcpProxy));
  const workerProxies = new Map<string, TcpProxy>();
  for (const worker of platform.workers) {
    const workerAddress = platform.workerAddresses.get(worker.id) ?? '';
    const proxy = await startTcpProxy(workerAddress);
    workerProxies.set(worker.id, proxy);
    platform.writeRegistryEntry(worker, {address: proxy.address});
  }
  const storeProxies = await startProxies(
    Array(HOST_COUNT).fill(platform.storeAddress),
  );
  const adviserProxies = await startProxies(platform.adviserAddresses);
  const site = await startSiteProcesses(
    platform,
    HOST_COUNT,
    options.program,
    index => ({
      store: storeProxies[index].address,
      adviser: adviserProxies[index].address,
    }),
  );
  const callerProxies = await startProxies(
    site.hosts.map(host => host.callerAddress),
  );

  const findings: string[] = [];
  const faults: string[] = [];
  const startedAt = performance.now();
  const recordFault = (description: string) =>
    faults.push(`${Math.round(performance.now() - startedAt)} ${description}`);
  /** Names of hosts whose process was told to end and is not replaced yet. */
  const expectedExits = new Set<string>();
  const target: SoakTarget = {
    platform,
    site,
    proxies: {
      store: storeProxies,
      adviser: adviserProxies,
      caller: callerProxies,
      worker: workerProxies,
    },
    callFaults,
    restart: (index, signal, downMillis) =>
      void restart(index, signal, downMillis),
    reconfigure: () => {
      configurationVersion++;
      recordFault(`configuration ${configurationVersion}`);
      platform.configure(encodeConfiguration(POLICIES, configurationVersion));
    },
    recordFault,
    schedule: (delayMillis, action) => void setTimeout(action, delayMillis),
  };

  async function restart(
    index: number,
    signal: 'SIGKILL' | 'SIGTERM',
    downMillis: number,
  ): Promise<void> {
    const host = site.hosts[index];
    if (expectedExits.has(host.name)) {
      return;
    }
    expectedExits.add(host.name);
    recordFault(`${host.name} ${signal}`);
    host.process.kill(signal);
    // SIGTERM stays pending in a process that SIGSTOP has suspended.
    host.process.kill('SIGCONT');
    const hadStarted = host.isUp;
    const status = await host.ended;
    if (signal === 'SIGTERM' && status !== 0 && hadStarted) {
      findings.push(`${host.name} exited with ${status} after SIGTERM`);
    }
    await sleep(downMillis);
    site.restart(host);
    watchExit(index);
    expectedExits.delete(host.name);
  }

  function watchExit(index: number): void {
    const host = site.hosts[index];
    void host.ended.then(status => {
      if (!expectedExits.has(host.name)) {
        findings.push(`${host.name} exited unexpectedly with ${status}`);
      }
    });
  }

  site.hosts.forEach((_, index) => watchExit(index));
  const pickCallerAddress = () => randomSource.pick(callerProxies).address;
  const jobs = Array.from({length: options.jobCount}, (_, index) =>
    buildJob(
      index.toString(16).padStart(16, '0'),
      drawSteps(random, randomSource.between),
      {
        policy: randomSource.pick(POLICIES),
      },
    ),
  );

  /** Submits a job to random hosts until it is accepted; cancels some jobs. */
  async function submitUntilAccepted(job: Job): Promise<void> {
    await sleep(randomSource.between(0, options.faultPhaseMillis));
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
      const status = await submitAt(platform, pickCallerAddress(), job).then(
        answer => answer.status,
        () => 0,
      );
      if (status === 200) {
        break;
      }
      if (![0, 503, 504].includes(status)) {
        findings.push(
          `submission of job ${job.id} was answered with ${status}`,
        );
      }
      await sleep(randomSource.between(50, 800));
    }
    if (randomSource.next() < 0.1) {
      await sleep(randomSource.between(0, 1500));
      await cancelAt(platform, pickCallerAddress(), job).catch(() => undefined);
    }
  }

  async function injectFaults(): Promise<void> {
    const endAt = performance.now() + options.faultPhaseMillis;
    while (performance.now() < endAt) {
      await sleep(-Math.log(1 - random()) * options.meanFaultIntervalMillis);
      FAULTS[randomSource.pick(Object.keys(FAULTS))](target, randomSource);
    }
  }

  /** Waits for pending faults to end, then reverts those that have not. */
  async function clearFaults(): Promise<void> {
    await sleep(RECOVERY_MILLIS);
    await waitFor(() => expectedExits.size === 0, READY_TIMEOUT_MILLIS);
    callFaults.store = () => 'answered';
    callFaults.order = () => 'answered';
    for (const proxy of [
      ...storeProxies,
      ...adviserProxies,
      ...callerProxies,
      ...workerProxies.values(),
    ]) {
      proxy.mode = 'open';
    }
    site.hosts.forEach(host => host.process.kill('SIGCONT'));
    platform.workers.forEach(worker => {
      worker.isStalled = false;
    });
    const recoveredAt = performance.now() + RECOVERY_MILLIS;
    platform.checker.areFaultsOver = () => performance.now() > recoveredAt;
  }

  try {
    for (const host of site.hosts) {
      if (
        !(await waitFor(
          async () => (await readReadiness(host)) === 200,
          READY_TIMEOUT_MILLIS,
        ))
      ) {
        findings.push(`${host.name} did not become ready`);
      }
    }
    await Promise.all([injectFaults(), ...jobs.map(submitUntilAccepted)]);
    await clearFaults();
    await checkFinalStates(site, jobs, platform.checker, findings);
  } finally {
    site.hosts.forEach(host => expectedExits.add(host.name));
    await site.stop();
    [
      ...storeProxies,
      ...adviserProxies,
      ...callerProxies,
      ...workerProxies.values(),
    ].forEach(proxy => proxy.close());
    platform.stop();
  }
  findings.push(...platform.checker.violations);
  if (findings.length > 0 && options.logFolder !== undefined) {
    writeLogs(options, site, [...faults, ...findings]);
  }
  const accepted = [...platform.checker.jobs.values()].filter(
    job => job.acceptedAt !== undefined,
  ).length;
  return {findings, accepted, faults};
}

/**
 * Waits until every host reports each accepted job in a final state. Adds a
 * finding for each host and job of which this isn't so in time.
 */
async function checkFinalStates(
  site: SiteProcesses,
  jobs: readonly Job[],
  checker: {
    readonly jobs: ReadonlyMap<string, {acceptedAt: number | undefined}>;
  },
  findings: string[],
): Promise<void> {
  const deadline = performance.now() + COMPLETION_TIMEOUT_MILLIS;
  for (const job of jobs) {
    if (checker.jobs.get(job.id)?.acceptedAt === undefined) {
      continue;
    }
    for (const host of site.hosts) {
      let state = '';
      const hasEnded = await waitFor(
        async () => {
          state = await readJobState(host.callerAddress, job).catch(String);
          const parsed = jobStateSchema.safeParse(state);
          return parsed.success && isFinalState(parsed.data);
        },
        Math.max(100, deadline - performance.now()),
      );
      if (!hasEnded) {
        findings.push(
          `job ${job.id} did not end in time: ${state} on ${host.name}`,
        );
      }
    }
  }
}

/** Writes the faults, the findings and the output of each host to files. */
function writeLogs(
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
