import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {stringify} from 'yaml';
import {
  type DeclarationOptions,
  buildDeclarationValue,
  workerName,
} from './declarationFixture';
import {findFreePorts} from './findFreePorts';

const HOST = '127.0.0.1';
const PORTS_OF_HOST = 3;
const POLL_MILLIS = 50;

/** What a site of processes is started with. */
export interface SiteOptions {
  readonly zones: readonly string[];
  readonly hostsInZone: number;
  readonly workersInZone: number;
  /** Folder with the built programs. */
  readonly programs: string;
  readonly declaration?: DeclarationOptions;
  /** Flags for each entry host besides the usual ones. */
  readonly entryFlags?: readonly string[];
  /** Flags of the runtime for entry hosts. */
  readonly runtimeFlags?: readonly string[];
  readonly onLine?: (source: string, line: string) => void;
}

/** A process of a site. */
export interface SiteProcess {
  readonly name: string;
  readonly process: ChildProcess;
  /** Resolves with the exit status, or the signal that ended it. */
  readonly ended: Promise<number | string>;
}

/** An entry host of a site and where it listens. */
export interface SiteHost extends SiteProcess {
  readonly zone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly statusAddress: string;
}

/** A worker of a site and where it listens. */
export interface SiteWorker extends SiteProcess {
  readonly zone: string;
  readonly address: string;
}

/** A whole site as separate processes on loopback. */
export interface Site {
  readonly hosts: SiteHost[];
  readonly workers: SiteWorker[];
  readonly log: SiteProcess;
  readonly logUrl: string;
  readonly hostListUrl: string;
  readonly declarationFile: string;
  /** Runs the operators' command; resolves with its exit status and output. */
  command(...args: string[]): Promise<CommandResult>;
  /** Starts a host again, as an empty one, in place of one that ended. */
  restartHost(host: SiteHost): SiteHost;
  stop(): Promise<void>;
}

/** What a run of the operators' command gave. */
export interface CommandResult {
  readonly status: number | string;
  readonly output: string;
  readonly errors: string;
}

/** Starts a site and waits until its parts listen. */
export async function startSite(options: SiteOptions): Promise<Site> {
  const folder = mkdtempSync(join(tmpdir(), 'samphireramp-'));
  const running: SiteProcess[] = [];
  const perZone = options.hostsInZone * PORTS_OF_HOST + options.workersInZone;
  const ports = await findFreePorts(2 + options.zones.length * perZone);
  const takePort = () => ports.pop() ?? 0;
  const run = (name: string, program: string, args: readonly string[]) => {
    const child = runProgram(options, name, program, args);
    running.push(child);
    return child;
  };
  const logPort = takePort();
  const listPort = takePort();
  const log = run('log', 'stand-in', ['log', `--port=${logPort}`]);
  run('hosts', 'stand-in', ['hosts', `--port=${listPort}`]);
  const logUrl = `http://${HOST}:${logPort}`;
  const hostListUrl = `http://${HOST}:${listPort}`;

  const workers = options.zones.flatMap(zone =>
    Array.from({length: options.workersInZone}, (_, index) => {
      const name = workerName(zone, index);
      const port = takePort();
      const args = ['worker', name, `--port=${port}`, '--quiet=0'];
      const address = `${HOST}:${port}`;
      return {...run(name, 'stand-in', args), zone, address};
    }),
  );

  function startHost(place: Omit<SiteHost, keyof SiteProcess>, name: string) {
    const args = [
      `--name=${name}`,
      `--zone=${place.zone}`,
      `--caller-address=${place.callerAddress}`,
      `--peer-address=${place.peerAddress}`,
      `--status-address=${place.statusAddress}`,
      `--log-url=${logUrl}`,
      `--host-list-url=${hostListUrl}`,
      ...(options.entryFlags ?? []),
    ];
    return {...run(name, 'samphireramp-entry', args), ...place};
  }

  const hosts = options.zones.flatMap(zone =>
    Array.from({length: options.hostsInZone}, (_, index) => {
      const [callerAddress, peerAddress, statusAddress] = Array.from(
        {length: PORTS_OF_HOST},
        () => `${HOST}:${takePort()}`,
      );
      const place = {zone, callerAddress, peerAddress, statusAddress};
      return startHost(place, `${zone}-e${index}`);
    }),
  );

  const declarationFile = join(folder, 'site.yaml');
  const declaration = buildDeclarationValue({
    zones: options.zones,
    workersInZone: options.workersInZone,
    addressOf: (zone, index) =>
      workers.find(worker => worker.name === workerName(zone, index))
        ?.address ?? '',
    ...options.declaration,
  });
  writeFileSync(declarationFile, stringify(declaration));
  await Promise.all([
    ...workers.map(worker => waitForHttp(`http://${worker.address}/`)),
    ...hosts.map(host => waitForHttp(`http://${host.statusAddress}/health`)),
    waitForHttp(`${logUrl}/`),
    waitForHttp(`${hostListUrl}/hosts`),
  ]);

  return {
    hosts,
    workers,
    log,
    logUrl,
    hostListUrl,
    declarationFile,
    command: (...args) => runCommand(options, args),
    restartHost: ({name, zone, callerAddress, peerAddress, statusAddress}) =>
      startHost({zone, callerAddress, peerAddress, statusAddress}, name),
    stop: async () => {
      running.forEach(({process: child}) => child.kill('SIGKILL'));
      await Promise.all(running.map(child => child.ended));
      rmSync(folder, {recursive: true});
    },
  };
}

/** Asks until a condition holds; false when the time is up. */
export async function waitFor(
  holds: () => Promise<boolean> | boolean,
  patienceMillis: number,
): Promise<boolean> {
  const giveUpAt = performance.now() + patienceMillis;
  while (performance.now() < giveUpAt) {
    if (await holds()) {
      return true;
    }
    await new Promise(resolve => {
      setTimeout(resolve, POLL_MILLIS);
    });
  }
  return false;
}

async function waitForHttp(url: string): Promise<void> {
  const isUp = await waitFor(
    () =>
      fetch(url).then(
        () => true,
        () => false,
      ),
    20_000,
  );
  if (!isUp) {
    throw new Error(`${url} does not answer`);
  }
}

function runProgram(
  options: SiteOptions,
  name: string,
  program: string,
  args: readonly string[],
): SiteProcess {
  const file = join(options.programs, `${program}.mjs`);
  const isEntry = program === 'samphireramp-entry';
  const flags = isEntry ? (options.runtimeFlags ?? []) : [];
  const child = spawn(process.execPath, [...flags, file, ...args], {
    stdio: ['ignore', 'ignore', options.onLine ? 'pipe' : 'ignore'],
  });
  let rest = '';
  child.stderr?.on('data', (chunk: Buffer) => {
    const lines = (rest + chunk.toString()).split('\n');
    rest = lines.pop() ?? '';
    lines.forEach(line => options.onLine?.(name, line));
  });
  const ended = new Promise<number | string>(resolve => {
    child.on('exit', (status, signal) => resolve(status ?? signal ?? 'ended'));
  });
  return {name, process: child, ended};
}

function runCommand(
  options: SiteOptions,
  args: readonly string[],
): Promise<CommandResult> {
  const file = join(options.programs, 'samphireramp.mjs');
  const child = spawn(process.execPath, [file, ...args]);
  let output = '';
  let errors = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  return new Promise(resolve => {
    child.on('close', (code, signal) =>
      resolve({status: code ?? signal ?? 'ended', output, errors}),
    );
  });
}
