/* global performance */
// Starts the project's own program on several loopback addresses, with the command
// of the deploy file and the settings file that DEPLOY.md describes.
import {spawn} from 'node:child_process';
import {
  closeSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {call} from './client.mjs';
import {sleep} from './store.mjs';

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..');
const METRICS_PORT = 9464;
const CALLER_PORT = 8161;
const READINESS_PORT = 8167;
const HOST_PORTS = [7720, 7735];
const READY_TIMEOUT_MILLIS = 30_000;
const ATTEMPTS_TO_FIND_ADDRESSES = 50;

/** Figures of the site file of the smallest deployment. */
const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_ms: 4000,
  ack_timeout_ms: 5000,
  catch_up_s: 4,
  drain_ms: 2500,
  grace_period_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2500,
  rollback_slack_ms: 250,
  max_stretch_ms: 6000,
  recovery_s: 12,
  max_hold_ms: 10_000,
  stop_grace_ms: 900,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  lease_ms: 3000,
};

/** All processes that were started and have not ended. */
const children = new Set();

// Whatever ends this process, none of those that it started goes on.
process.on('exit', () => children.forEach(child => child.kill('SIGKILL')));

/** The case can't run on this machine; it shows nothing about the system. */
export class CannotRun extends Error {}

/** Returns a loopback network of this process's own whose ports are free. */
export async function findNetwork() {
  for (let attempt = 0; attempt < ATTEMPTS_TO_FIND_ADDRESSES; attempt++) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const ports = [METRICS_PORT, CALLER_PORT, READINESS_PORT, HOST_PORTS[0]];
    const areFree = await Promise.all(
      ports.map(port => isFree(`${network}.1`, port)),
    );
    if (areFree.every(Boolean)) {
      return network;
    }
  }
  throw new CannotRun('no free loopback addresses');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.on('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Starts `count` hosts that use the store at an address. */
export async function startHosts({network, count, storeAddress, record}) {
  const command = readCommand();
  if (!existsSync(join(REPOSITORY, command.at(-1)))) {
    throw new CannotRun(`${command.at(-1)} is not built`);
  }
  const folder = mkdtempSync(join(tmpdir(), 'samphireramp-review-'));
  const hosts = [];
  let isClosing = false;
  for (let index = 0; index < count; index++) {
    const ip = `${network}.${index + 1}`;
    const name = `frontend-${index + 1}`;
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settingsOf(name, ip, storeAddress)));
    const host = {
      name,
      address: `${ip}:${CALLER_PORT}`,
      readiness: `${ip}:${READINESS_PORT}`,
      metrics: `${ip}:${METRICS_PORT}`,
      file,
      log: join(folder, `${name}.log`),
    };
    hosts.push(host);
    launch(host, command, record);
  }
  return {
    hosts,
    folder,
    /** Kills the process of a host and waits for its end. */
    kill: async host => {
      record('host-killed', {host: host.name});
      host.process.kill('SIGKILL');
      await host.ended;
    },
    /** Starts a new process for a host. */
    restart: host => {
      if (!isClosing) {
        launch(host, command, record);
      }
    },
    close: async () => {
      isClosing = true;
      for (const host of hosts) {
        if (host.isRunning) {
          host.process.kill('SIGKILL');
          await host.ended;
        }
      }
      if (process.env.KEEP_LOGS === undefined) {
        rmSync(folder, {recursive: true, force: true});
      }
    },
  };
}

/** The words of `run` in the deploy file. */
function readCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function launch(host, [program, ...words], record) {
  const output = openSync(host.log, 'a');
  const {PATH, HOME, LANG} = process.env;
  host.process = spawn(program === 'node' ? process.execPath : program, words, {
    cwd: REPOSITORY,
    env: {PATH, HOME, LANG, SAMPHIRERAMP_NODE_FILE: host.file},
    stdio: ['ignore', output, output],
  });
  closeSync(output);
  host.isRunning = true;
  const {process: child} = host;
  children.add(child);
  host.ended = new Promise(resolve => {
    child.once('exit', (code, signal) => {
      children.delete(child);
      if (host.process === child) {
        host.isRunning = false;
      }
      record('host-ended', {host: host.name, code, signal});
      resolve();
    });
  });
  record('host-started', {host: host.name});
}

function settingsOf(name, ip, storeAddress) {
  return {
    node_name: name,
    role: 'samphireramp-site',
    machine_class: 'frontend',
    serves: ['frontend'],
    ip,
    zone: 'zone-a',
    region: 'region-a',
    zones: {'zone-a': 'region-a'},
    listen_addresses: {
      frontend: `${ip}:${CALLER_PORT}`,
      readiness: `${ip}:${READINESS_PORT}`,
    },
    internal_port_range: HOST_PORTS,
    seeds: [],
    bootstrap: true,
    limits: {
      cpu_share: 0.675,
      cores: 1,
      memory_mb: 350,
      file_descriptors: 4100,
      link_mbps: 1000,
      disk_mb: 0,
    },
    data_directory: null,
    discovery: 'platform',
    heartbeat_interval_ms: 1500,
    bounds: BOUNDS,
    orders: 'request',
    advice: null,
    platform: {
      address: storeAddress,
      form: 'log',
      writes_per_s: 600,
      reads_per_s: 2000,
      parts: 8,
      append_ms: 4,
      part_mb_per_s: 20,
      read_mb_per_s: 80,
      max_record_bytes: 262_144,
      max_call_bytes: 2_097_152,
      keep_s: 300,
      partition_mb: 200,
      min_ttl_ms: 1000,
    },
  };
}

/** Waits until all hosts are ready and one is the holder. */
export async function waitUntilReady(hosts) {
  const deadline = performance.now() + READY_TIMEOUT_MILLIS;
  while (performance.now() < deadline) {
    const answers = await Promise.all(
      hosts.map(({readiness}) => call(readiness, 'GET', '/api/readiness')),
    );
    if (
      answers.every(({status}) => status === 200) &&
      (await findHolder(hosts)) !== undefined
    ) {
      return;
    }
    await sleep(200);
  }
  throw new CannotRun('the hosts did not become ready');
}

/** The host whose metrics say that it is the holder. */
export async function findHolder(hosts) {
  for (const host of hosts) {
    const {text} = await call(host.metrics, 'GET', '/metrics');
    if (text.includes('samphireramp_is_holder 1')) {
      return host;
    }
  }
  return undefined;
}
