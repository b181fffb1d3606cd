import {
  type HostAnswer,
  type Platform,
  type SiteProcessHost,
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
} from '@samphireramp/testing';
import type {Job} from '@samphireramp/jobs';
import {join} from 'node:path';

const TIMEOUT_MILLIS = 30_000;
const HOST_COUNT = 3;
const WORKER_COUNT = 4;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

const CHAIN = buildJob(
  '00000000000000a1',
  [
    buildStep({count: 4, estimateMillis: 400}),
    buildStep({count: 2, estimateMillis: 400, after: [0]}),
  ],
  {policy: DEFAULT_POLICY},
);
const GANG = buildJob(
  '00000000000000a2',
  [buildStep({count: 4, estimateMillis: 800, isGang: true})],
  {policy: DEFAULT_POLICY},
);
const SERVICE = buildJob(
  '00000000000000a3',
  [buildStep({count: 2, isService: true})],
  {policy: DEFAULT_POLICY},
);

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printAnswer(description: string, {status, text}: HostAnswer): void {
  printLine(`${description}: ${status} ${text.trim()}`);
}

/** Prints the states of a job on a host until it is in the expected state. */
async function waitForState(
  host: SiteProcessHost,
  job: Job,
  expectedState: string,
): Promise<boolean> {
  let state = '';
  return waitFor(async () => {
    const currentState = await readJobState(host.callerAddress, job);
    if (currentState !== state) {
      state = currentState;
      printLine(`  job ${job.id} on ${host.name}: ${state}`);
    }
    return state === expectedState;
  }, TIMEOUT_MILLIS);
}

/** Submits jobs of each kind and kills the holder while they run. */
async function runScenario(
  platform: Platform,
  hosts: readonly SiteProcessHost[],
  holder: SiteProcessHost,
): Promise<boolean> {
  const [first, second] = hosts.filter(host => host !== holder);
  const submit = (host: SiteProcessHost, job: Job) =>
    submitAt(platform, host.callerAddress, job);
  printAnswer('submit a job of two steps', await submit(first, CHAIN));
  printAnswer('submit the same job again', await submit(second, CHAIN));
  const isChainDone = await waitForState(second, CHAIN, 'completed');

  printAnswer('submit a gang of four tasks', await submit(first, GANG));
  printAnswer('submit a service', await submit(first, SERVICE));
  await waitForState(second, GANG, 'running');
  printLine(`${holder.name} is the holder; killing it`);
  holder.process.kill('SIGKILL');
  await holder.ended;
  const isGangDone = await waitForState(second, GANG, 'completed');
  const isServing = await waitForState(second, SERVICE, 'running');
  printAnswer(
    'cancel the service',
    await cancelAt(platform, first.callerAddress, SERVICE),
  );
  const isCancelled = await waitForState(second, SERVICE, 'cancelled');

  const invalidAnswer = await callHost(
    first.callerAddress,
    'POST',
    '/queue/zz',
    {},
  );
  printAnswer('send an invalid request', invalidAnswer);
  first.process.kill('SIGTERM');
  const status = await first.ended;
  printLine(`${first.name} received SIGTERM and exited with status ${status}`);
  printLine(
    `invariant violations: ${platform.checker.violations.join('; ') || 'none'}`,
  );
  return (
    isChainDone &&
    isGangDone &&
    isServing &&
    isCancelled &&
    invalidAnswer.status === 400 &&
    status === 0 &&
    platform.checker.violations.length === 0
  );
}

/** Runs the scenario on a site of processes and a simulated platform. */
async function main(): Promise<boolean> {
  const platform = await startPlatform({
    workers: WORKER_COUNT,
    hosts: HOST_COUNT,
    capacity: CAPACITY,
    configuration: encodeConfiguration([DEFAULT_POLICY], 1),
    script: (job, runId) => {
      const step = job.steps[runId.step];
      const workMillis = step.isService ? Infinity : step.estimateMillis;
      return {step, workMillis, fails: () => false};
    },
  });
  const program = join(import.meta.dirname, 'samphireramp-site.mjs');
  const site = await startSiteProcesses(platform, HOST_COUNT, program);
  try {
    printLine(
      `${HOST_COUNT} hosts as processes, a simulated platform with ${WORKER_COUNT} workers`,
    );
    for (const host of site.hosts) {
      await waitFor(
        async () => (await readReadiness(host)) === 200,
        TIMEOUT_MILLIS,
      );
    }
    const holder = await waitForHolder(site, TIMEOUT_MILLIS);
    return (
      holder !== undefined && (await runScenario(platform, site.hosts, holder))
    );
  } finally {
    await site.stop();
    platform.stop();
  }
}

const isSuccess = await main();
printLine(isSuccess ? 'demo succeeded' : 'demo failed');
process.exitCode = isSuccess ? 0 : 1;
