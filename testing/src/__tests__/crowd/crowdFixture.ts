import type {Test} from 'tap';
import {
  type CrowdScript,
  type Platform,
  type PlatformFaultState,
  type SiteProcessHost,
  type SiteProcesses,
  DEFAULT_POLICY,
  NO_PLATFORM_FAULTS,
  buildJob,
  buildStep,
  encodeChunkedHead,
  encodeConfiguration,
  peakResidentBytes,
  readJobState,
  readReadiness,
  repeat,
  startCrowd,
  readDeployedFlags,
  startPlatform,
  startSiteProcesses,
  submitAt,
  waitFor,
  waitForHolder,
  watchSockets,
} from '../../index';

const PROGRAM = 'dist/samphireramp-site.mjs';
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const TASK_MILLIS = 200;
/** Limit of a body in the platform's configuration. */
export const MAX_BODY_BYTES = 262_144;
/** Memory of the smallest host of the platform. */
const MEMORY_MEGABYTES = 250;
const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Descriptors of the smallest host of the platform. */
const DESCRIPTORS = 4100;
/** Descriptors that the platform reserves for files; sockets get the rest. */
const FILE_DESCRIPTORS = 200;
/** How long a crowd may take to send what it sends. */
export const CROWD_MILLIS = 30_000;
/** Long enough for any machine: no test here is about times. */
const SERVE_MILLIS = 60_000;

/** A host that runs as a process with the limits of a small machine. */
export interface LimitedHost {
  readonly platform: Platform;
  readonly host: SiteProcessHost;
}

/** Options of `startLimitedSite`. */
export interface LimitedSiteOptions {
  readonly hosts?: number;
  /** Limit of open descriptors of each process. */
  readonly descriptors?: number;
  readonly faultState?: PlatformFaultState;
}

/** Starts a site of hosts with limits; returns them with the holder. */
export async function startLimitedSite(
  t: Test,
  {hosts = 1, descriptors = DESCRIPTORS, faultState}: LimitedSiteOptions = {},
): Promise<LimitedHost & {readonly site: SiteProcesses}> {
  const platform = await startPlatform({
    workers: 2,
    hosts,
    capacity: CAPACITY,
    configuration: {
      ...encodeConfiguration([DEFAULT_POLICY], 1),
      limits: {max_body_bytes: MAX_BODY_BYTES},
    },
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: TASK_MILLIS,
      fails: () => false,
    }),
    faultState,
  });
  t.teardown(() => platform.stop());
  const site = await startSiteProcesses(platform, hosts, PROGRAM, undefined, {
    memoryMegabytes: MEMORY_MEGABYTES,
    descriptors,
    nodeFlags: readDeployedFlags(),
  });
  t.teardown(() => site.stop());
  for (const host of site.hosts) {
    const isReady = async () => (await readReadiness(host)) === 200;
    t.ok(await waitFor(isReady, SERVE_MILLIS), `${host.name} is ready`);
  }
  const holder = await waitForHolder(site, SERVE_MILLIS);
  t.ok(holder, 'a host is the holder');
  return {platform, site, host: holder ?? site.hosts[0]};
}

/** Options of `playCrowd`. */
export interface CrowdOptions {
  readonly script: CrowdScript;
  /** Limit of open descriptors of the process. */
  readonly descriptors?: number;
  /** Address to which the crowd connects; that for callers by default. */
  readonly addressOf?: (host: SiteProcessHost) => string;
  /** Whether the store gives no answers while the crowd sends. */
  readonly isStoreSilent?: boolean;
  /** Called once the crowd has sent everything and an ordinary job is done. */
  readonly check?: (
    site: LimitedHost,
    answers: readonly string[],
  ) => Promise<void>;
}

/**
 * Plays a crowd against a host and checks what must hold: the process lives, keeps
 * within the memory and the sockets of its machine, and does an ordinary job while
 * the connections of the crowd are still open. Returns what the crowd was answered.
 */
export async function playCrowd(
  t: Test,
  {
    script,
    descriptors = DESCRIPTORS,
    addressOf,
    isStoreSilent = false,
    check,
  }: CrowdOptions,
): Promise<readonly string[]> {
  const store = {isSilent: false};
  const limitedHost = await startLimitedSite(t, {
    descriptors,
    faultState: {
      ...NO_PLATFORM_FAULTS,
      store: () => (store.isSilent ? 'silent' : 'answered'),
    },
  });
  const {host} = limitedHost;
  const watch = watchSockets(processIdOf(host));
  t.teardown(watch.stop);
  const address = (addressOf ?? (each => each.callerAddress))(host);
  store.isSilent = isStoreSilent;
  const crowd = await startCrowd(address, script);
  t.teardown(crowd.close);
  await crowd.finish(CROWD_MILLIS);
  store.isSilent = false;
  await checkServes(t, limitedHost);
  await check?.(limitedHost, crowd.answers());
  checkMemory(t, host);
  const sockets = watch.peak();
  t.ok(sockets <= descriptors - FILE_DESCRIPTORS, `sockets: ${sockets}`);
  return crowd.answers();
}

/** Checks that the process of a host lives and has kept within its memory. */
export function checkMemory(t: Test, host: SiteProcessHost): void {
  t.ok(isAlive(host), 'the process lives');
  if (isAlive(host)) {
    const bytes = peakResidentBytes(processIdOf(host));
    const megabytes = Math.round(bytes / BYTES_PER_MEGABYTE);
    t.ok(megabytes <= MEMORY_MEGABYTES, `memory: ${megabytes} MB`);
  }
}

/** Checks that an ordinary job is accepted and done. */
export async function checkServes(
  t: Test,
  {platform, host}: LimitedHost,
): Promise<void> {
  const job = buildJob('00000000000000a1', [buildStep()], {
    policy: DEFAULT_POLICY,
  });
  const isAccepted = () =>
    submitAt(platform, host.callerAddress, job).then(
      ({status}) => status === 200,
      () => false,
    );
  const isDone = async () =>
    (await readJobState(host.callerAddress, job).catch(() => '')) ===
    'completed';
  const hasEnded = () => !isAlive(host);
  t.ok(
    await waitFor(async () => hasEnded() || isAccepted(), SERVE_MILLIS),
    'an ordinary request is answered',
  );
  t.ok(
    await waitFor(async () => hasEnded() || isDone(), SERVE_MILLIS),
    'its job is done',
  );
}

function isAlive({process: {exitCode, signalCode}}: SiteProcessHost): boolean {
  return exitCode === null && signalCode === null;
}

function processIdOf({process: {pid}}: SiteProcessHost): number {
  return pid ?? 0;
}
/** Returns the path of a job of a crowd's client. */
export function pathOfClient(client: number): string {
  const jobId = (0xc000 + client).toString(16).padStart(16, '0');
  return `/${DEFAULT_POLICY.name}/${jobId}`;
}

/** Clients that each send a body as a number of equal pieces, and never end it. */
export function unfinishedBodies(
  clients: number,
  piece: Buffer,
  pieces: number,
): CrowdScript {
  return {
    clients,
    reads: true,
    pieces: client => [
      encodeChunkedHead(pathOfClient(client)),
      ...repeat(piece, pieces),
    ],
  };
}

/** Returns the distinct statuses of the first answers of a crowd, in order. */
export function statusesOf(answers: readonly string[]): string[] {
  const statuses = answers
    .filter(answer => answer.length > 0)
    .map(answer => answer.split(' ')[1]);
  return [...new Set(statuses)].sort();
}

/** Checks that no client of a crowd got another status than these. */
export function checkStatuses(
  t: Test,
  answers: readonly string[],
  allowed: readonly string[],
): void {
  const others = statusesOf(answers).filter(each => !allowed.includes(each));
  t.strictSame(others, []);
}
