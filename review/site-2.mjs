/* global Buffer, URL, clearTimeout, performance, setTimeout */
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('..', import.meta.url));
/** At which the deploy file has each process serve its metrics. */
const METRICS_PORT = 9464;
/** Ports for communication between the hosts. */
const INTERNAL_PORTS = 16;
const MAX_PORT = 65_535;
const MAX_PORT_ATTEMPTS = 50;
const MAX_ADDRESSES = 200;

/** The words of the command that the deploy file starts each host with. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Listens at a port, any for 0; undefined if it is in use. */
function listenAt(ip, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.on('error', () => resolve(undefined));
    server.listen(port, ip, () => resolve(server));
  });
}

function closeAll(servers) {
  servers.forEach(server => server?.close());
}

/** Two free ports, and the first of a range of free ones. */
async function findFreePorts(ip) {
  const single = [await listenAt(ip, 0), await listenAt(ip, 0)];
  const ports = single.map(server => server.address().port);
  for (let attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
    const first = await listenAt(ip, 0);
    const {port} = first.address();
    const range = [first];
    if (port + INTERNAL_PORTS - 1 <= MAX_PORT) {
      for (let offset = 1; offset < INTERNAL_PORTS; offset++) {
        range.push(await listenAt(ip, port + offset));
      }
    }
    closeAll(range);
    if (range.length === INTERNAL_PORTS && range.every(Boolean)) {
      closeAll(single);
      return [...ports, port];
    }
  }
  closeAll(single);
  throw new Error('no range of free ports');
}

/** The hosts of a site: processes with the command of the deploy file. */
export class Site {
  constructor({store, advice, record}) {
    Object.assign(this, {store, advice, record});
    this.folder = mkdtempSync(join(tmpdir(), 'samphireramp-review-'));
    this.hosts = [];
    this.addresses = 0;
    this.isStopped = false;
    // Each host has a loopback address of its own, as all serve metrics at one port.
    this.network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
  }

  async addHost(name, zone) {
    const ip = await this.findAddress();
    const [frontend, readiness, internal] = await findFreePorts(ip);
    const host = {
      name,
      zone,
      ip,
      frontend: {host: ip, port: frontend},
      readiness: {host: ip, port: readiness},
      internal,
      file: join(this.folder, `${name}.json`),
      output: '',
    };
    this.hosts.push(host);
    this.writeSettings(host, {store: this.store, advice: this.advice});
    this.startHost(host);
    return host;
  }

  /** A loopback address of its own, at which the port of the metrics is free. */
  async findAddress() {
    while (this.addresses < MAX_ADDRESSES) {
      const ip = `${this.network}.${10 + this.addresses++}`;
      const server = await listenAt(ip, METRICS_PORT);
      if (server !== undefined) {
        server.close();
        return ip;
      }
    }
    throw new Error('the port of the metrics is in use');
  }

  /** Writes the settings of a host, as DEPLOY.md shows them. */
  writeSettings(
    {name, zone, ip, frontend, readiness, internal, file},
    addresses,
  ) {
    const settings = {
      node_name: name,
      role: 'samphireramp-site',
      machine_class: 'frontend',
      serves: ['frontend'],
      ip,
      zone,
      region: 'region-a',
      zones: {'zone-a': 'region-a', 'zone-b': 'region-a', 'zone-c': 'region-a'},
      listen_addresses: {
        frontend: `${ip}:${frontend.port}`,
        readiness: `${ip}:${readiness.port}`,
      },
      internal_port_range: [internal, internal + INTERNAL_PORTS - 1],
      seeds: [],
      bootstrap: true,
      counted_in_tolerance: false,
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
      entry_point: 'virtual_ip',
      heartbeat_interval_ms: 1500,
      fault_tolerance: {machines: 2, zones: 0, regions: 0},
      bounds: {
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
      },
      orders: 'request',
      advice: addresses.advice,
      platform: {
        address: addresses.store,
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
      cloud_api: {
        address: addresses.store,
        rate_per_s: 60,
        duties: [],
        duty_per_s: 60,
      },
    };
    // Replaced as a whole, so that no process reads half of it.
    writeFileSync(`${file}.new`, JSON.stringify(settings));
    renameSync(`${file}.new`, file);
  }

  startHost(host) {
    if (this.isStopped) {
      return;
    }
    const [program, ...words] = readCommand();
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        cwd: ROOT,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          SAMPHIRERAMP_NODE_FILE: host.file,
        },
      },
    );
    host.process = child;
    host.hasEnded = false;
    host.ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        host.hasEnded = true;
        this.record(`${host.name} ended: ${code ?? signal}`);
        resolve(code ?? signal);
      });
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', bytes => {
        host.output += bytes;
      });
    }
  }

  async waitUntilReady(millis = 20_000) {
    const endAt = performance.now() + millis;
    for (const host of this.hosts) {
      for (;;) {
        const {status} = await call(host.readiness, 'GET', '/api/readiness');
        if (status === 200) {
          break;
        }
        if (performance.now() > endAt) {
          return false;
        }
        await pause(100);
      }
    }
    return true;
  }

  async stop() {
    this.isStopped = true;
    for (const host of this.hosts) {
      if (!host.hasEnded) {
        host.process.kill('SIGKILL');
        await host.ended;
      }
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends a request; the status is 0 if there is no whole answer in time. */
export function call(
  {host, port},
  method,
  path,
  {content, headers = {}, timeoutMillis = 3000} = {},
) {
  return new Promise(resolve => {
    const body = content === undefined ? '' : JSON.stringify(content);
    const fail = () => resolve({status: 0, text: ''});
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          host: 'jobs.example',
          ...(body && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          }),
          ...headers,
        },
      },
      response => {
        let text = '';
        response.on('data', chunk => {
          text += chunk;
        });
        response.on('end', () => resolve({status: response.statusCode, text}));
        response.on('error', fail);
        response.on('close', fail);
      },
    );
    outgoing.setTimeout(timeoutMillis, () => outgoing.destroy());
    outgoing.on('error', fail);
    outgoing.end(body);
  });
}

/** Hands a job in until it is accepted, as clients do. */
export async function submit(site, path, content, record, tries = 20) {
  for (let attempt = 0; attempt < tries; attempt++) {
    const host = site.hosts[attempt % site.hosts.length];
    const {status} = await call(host.frontend, 'POST', path, {content});
    record(`POST ${path} at ${host.name}: ${status}`);
    if (status >= 200 && status < 300) {
      return true;
    }
    await pause(500);
  }
  return false;
}

/** The state of a job, or the status of the answer. */
export async function readState(host, path) {
  const {status, text} = await call(host.frontend, 'GET', path);
  return status === 200 ? JSON.parse(text).state : String(status);
}

/** Resolves after a time. */
export function pause(millis) {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}

/** The operator's configuration with one route for each queue. */
export function configuration(version, queues) {
  return {
    version,
    routes: queues.map(({name, service = 'hub', ...rest}) => ({
      name,
      host: 'jobs.example',
      path_prefix: `/${name}/`,
      service,
      priority: 1,
      max_attempts: 3,
      stretch: 2,
      target_latency_ms: 1000,
      ...rest,
    })),
    services: [{name: 'hub', rejects_overload: false}],
    limits: {max_body_bytes: 262_144},
  };
}

/** Runs a case and exits with its result: 1 broken, 0 held, 2 it could not run. */
export async function runCase(folder, play) {
  const lines = [];
  const startedAt = performance.now();
  const record = line => {
    lines.push(
      `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}`,
    );
  };
  const cleanups = [];
  const limit = setTimeout(() => {
    record('the case took too long');
    finish(2);
  }, 115_000);
  let isFinished = false;
  async function finish(status) {
    if (isFinished) {
      return;
    }
    isFinished = true;
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) {
      await cleanup();
    }
    record(`exit ${status}`);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(status);
  }
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, () => void finish(2));
  }
  process.on('uncaughtException', error => {
    record(String(error.stack));
    void finish(2);
  });
  try {
    const status = await play({
      record,
      onEnd: cleanup => cleanups.push(cleanup),
    });
    await finish(status);
  } catch (error) {
    record(String(error.stack));
    await finish(2);
  }
}
