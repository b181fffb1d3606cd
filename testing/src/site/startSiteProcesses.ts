import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {findFreePorts} from '../findFreePorts';
import type {Platform} from './startPlatform';

const LOOPBACK_ADDRESS = '127.0.0.1';
/** Ports for callers, readiness, calls between hosts, and metrics. */
const PORTS_PER_HOST = 4;
/** Time between a host's stop signal and the end of its process. */
const GRACE_SECONDS = 2;

/** A host that runs as a process of its own. */
export interface SiteProcessHost {
  readonly name: string;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  readonly settingsFile: string;
  process: ChildProcess;
  /** Whether the current process has logged that it started. */
  isUp: boolean;
  /** Standard output of this host's processes so far. */
  output: string;
  /** Resolves with the exit status, or the signal that ended the process. */
  ended: Promise<number | string>;
}

/** Host processes that use the simulated platform. */
export interface SiteProcesses {
  readonly hosts: readonly SiteProcessHost[];
  /** Starts a new process for a host whose process has ended. */
  restart(host: SiteProcessHost): void;
  /** Kills all processes and deletes their settings files. */
  stop(): Promise<void>;
}

/** Limits of each host's process; those that are left out keep their defaults. */
export interface ProcessLimits {
  /** Memory of the host, which its settings name. */
  readonly memoryMegabytes?: number;
  /** Maximum open descriptors, which its settings name and the process gets. */
  readonly descriptors?: number;
  /** Flags for Node.js, such as the size of the heap. */
  readonly nodeFlags?: readonly string[];
}

/** Addresses at which a host reaches the platform. */
export interface PlatformAddresses {
  readonly store: string;
  readonly adviser: string;
}

/**
 * Starts `count` hosts, each a process that runs the built `program`. They reach
 * the platform at the addresses that `addressesOf` returns for their index.
 */
export async function startSiteProcesses(
  platform: Platform,
  count: number,
  program: string,
  addressesOf = (index: number): PlatformAddresses => ({
    store: platform.storeAddress,
    adviser: platform.adviserAddresses[index],
  }),
  limits: ProcessLimits = {},
): Promise<SiteProcesses> {
  const folder = mkdtempSync(join(tmpdir(), 'samphireramp-site-'));
  const ports = await findFreePorts(count * PORTS_PER_HOST);
  const hosts: SiteProcessHost[] = [];
  for (let index = 0; index < count; index++) {
    const [caller, readiness, internal, metrics] = ports.splice(
      0,
      PORTS_PER_HOST,
    );
    const name = `host-${index}`;
    const addresses = addressesOf(index);
    const settingsFile = join(folder, `${name}.json`);
    const settings = {
      node_name: name,
      ip: LOOPBACK_ADDRESS,
      zone: 'zone-a',
      region: 'region-a',
      listen_addresses: {
        frontend: `${LOOPBACK_ADDRESS}:${caller}`,
        readiness: `${LOOPBACK_ADDRESS}:${readiness}`,
      },
      internal_port_range: [internal, internal],
      bounds: {grace_period_s: GRACE_SECONDS, status_s: 120},
      advice: addresses.adviser,
      platform: {address: addresses.store, parts: platform.partitions},
      limits: {
        memory_mb: limits.memoryMegabytes,
        file_descriptors: limits.descriptors,
      },
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const host: SiteProcessHost = {
      name,
      callerAddress: `${LOOPBACK_ADDRESS}:${caller}`,
      readinessAddress: `${LOOPBACK_ADDRESS}:${readiness}`,
      metricsAddress: `${LOOPBACK_ADDRESS}:${metrics}`,
      settingsFile,
      output: '',
      ...launch(program, settingsFile, metrics, limits),
    };
    collectOutput(host);
    hosts.push(host);
  }
  return {
    hosts,
    restart: host => {
      const port = Number(host.metricsAddress.split(':')[1]);
      Object.assign(host, launch(program, host.settingsFile, port, limits));
      collectOutput(host);
    },
    stop: async () => {
      for (const host of hosts) {
        host.process.kill('SIGKILL');
        await host.ended;
      }
      rmSync(folder, {recursive: true, force: true});
    },
  };
}

function launch(
  program: string,
  settingsFile: string,
  metricsPort: number,
  {descriptors, nodeFlags = []}: ProcessLimits,
) {
  const command = [
    process.execPath,
    ...nodeFlags,
    program,
    `--node-file=${settingsFile}`,
    `--metrics-port=${metricsPort}`,
  ];
  const [executable, ...words] =
    descriptors === undefined
      ? command
      : limitDescriptors(command, descriptors);
  const child = spawn(executable, words, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise<number | string>(resolve => {
    child.once('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
  });
  return {process: child, ended, isUp: false};
}

/** Wraps a command so that its process has a limit of open descriptors. */
function limitDescriptors(command: readonly string[], limit: number): string[] {
  return ['sh', '-c', `ulimit -n ${limit} && exec "$@"`, 'sh', ...command];
}

/** Collects the output of a host's process and notices that it started. */
function collectOutput(host: SiteProcessHost): void {
  const {process} = host;
  let processOutput = '';
  process.stdout?.on('data', (bytes: Buffer) => {
    host.output += bytes.toString();
    processOutput += bytes.toString();
    if (host.process === process && processOutput.includes('event=started')) {
      host.isUp = true;
    }
  });
}
