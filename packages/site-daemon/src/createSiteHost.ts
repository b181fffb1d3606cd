import {serve} from '@hono/node-server';
import {CONFIGURATION, createDispatchPlugin} from '@samphireramp/dispatch';
import {createFleetPlugin} from '@samphireramp/fleet';
import {createHostLinks, startHostServer} from '@samphireramp/host-links';
import {ANNOUNCE_MILLIS, createHostsPlugin} from '@samphireramp/hosts';
import {
  HOLDING,
  RESIGN,
  createHoldingPlugin,
  heldTerm,
} from '@samphireramp/holding';
import {createIntakePlugin} from '@samphireramp/intake';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import {
  CONFIGURATION_KEY,
  type HostSettings,
  createAdviser,
  createHttpCaller,
  createStoreLog,
  createWorkerClient,
  decodeConfiguration,
  decodeWorkerEntry,
  startCallerServer,
  startReadinessServer,
} from '@samphireramp/platform';
import {encodeHost} from '@samphireramp/record-codec';
import type {StreamLog} from '@samphireramp/stream-log';
import {type Log, createLogger, createMetrics} from '@samphireramp/telemetry';
import {Hono} from 'hono';
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {createAdvicePlugin} from './advicePlugin';
import {createCallerService} from './callerService';
import {createLogPlugin} from './logPlugin';
import {createObserverPlugin} from './observerPlugin';
import {createTimersPlugin} from './timersPlugin';
import {createWorkersPlugin} from './workersPlugin';

/** Connections to each address; more calls wait for one to be free. */
const CONNECTIONS_EACH = 48;
/** A host that has not read the log for this long takes no callers. */
const READY_READ_MILLIS = 1500;
/** Part of the time to stop that callers may still use. */
const SERVE_SHARE_OF_GRACE = 0.75;
const ANNOUNCE_TIMEOUT_MILLIS = 1500;
/** Extra wait before a claim for each millisecond of the way to the log. */
const CLAIM_MILLIS_PER_TRIP = 4;
const LONGEST_CLAIM_DELAY_MILLIS = 400;
/** Hosts with less processor than this leave the site to others ... */
const WEAK_HOST_CORES = 0.5;
/** ... unless none of these claims it within this time. */
const WEAK_HOST_CLAIM_MILLIS = 300;
/** Hosts that are alike claim at different moments. */
const CLAIM_SPREAD_MILLIS = 80;
/** Added to the time for which ended jobs are kept, for late retries. */
const KEEP_MARGIN_MILLIS = 60_000;

/** A running host. */
export interface SiteHost {
  readonly kernel: Kernel;
  /** Gives up the site, finishes what callers asked, and ends. */
  stop(): Promise<void>;
}

/** What a host is given. */
export interface SiteHostOptions {
  /** Settings now in force; a reload may change them. */
  readonly settings: () => HostSettings;
  readonly metricsPort: number;
  readonly random: () => number;
  /** Log lines that were left out since the start. */
  readonly logLinesLeftOut: () => number;
}

/** Starts a host of the system. */
export async function createSiteHost(
  options: SiteHostOptions,
): Promise<SiteHost> {
  const {settings, random} = options;
  const {name: self, zone, region, partitions} = settings();
  const log = createLogger('host');
  const metrics = createMetrics('samphireramp');
  metrics.gauge('log_lines_left_out', options.logLinesLeftOut);
  const now = () => performance.now();
  const wallClock = () => Date.now();
  const startedAt = now();
  let isStopping = false;

  const caller = createHttpCaller(CONNECTIONS_EACH);
  const streams = createStoreLog({
    caller,
    address: () => settings().storeAddress,
    partitions,
    now,
  });
  const adviser = createAdviser(caller, () => settings().adviserAddress);
  const links = createHostLinks();
  const kernel = createKernel({
    now,
    onError: (error, source) => {
      metrics.count('handler_errors', {source});
      const {stack} = error as Error;
      log('handler-error', {source, error: stack ?? String(error)});
    },
  });
  const claimDelayMillis = () =>
    Math.min(
      LONGEST_CLAIM_DELAY_MILLIS,
      streams.roundTripMillis() * CLAIM_MILLIS_PER_TRIP,
    ) +
    ((settings().cores ?? Infinity) < WEAK_HOST_CORES
      ? WEAK_HOST_CLAIM_MILLIS
      : 0) +
    random() * CLAIM_SPREAD_MILLIS;
  const incarnation = randomUUID();
  const keepEndedMillis = settings().keepEndedMillis + KEEP_MARGIN_MILLIS;

  // Observers come before the decisions whose state they compare with.
  for (const plugin of [
    createHostsPlugin(),
    createHoldingPlugin({
      self,
      incarnation,
      roundTripMillis: streams.roundTripMillis,
      claimDelayMillis,
    }),
    createIntakePlugin({partitions}),
    createFleetPlugin(),
    createObserverPlugin({metrics, log}),
    createDispatchPlugin({self, wallClock, partitions, keepEndedMillis}),
    createWorkersPlugin(createWorkerClient(caller), now),
    createAdvicePlugin(self, adviser, links),
  ]) {
    kernel.register(plugin);
  }
  const callers = createCallerService(kernel, {
    now,
    wallClock,
    startedAt,
    isStopping: () => isStopping,
  });
  const isReady = () =>
    !isStopping &&
    kernel.read(CONFIGURATION).get() !== undefined &&
    now() - kernel.read(HOLDING).get().journalReadAt < READY_READ_MILLIS;
  const hostServer = await startHostServer(
    settings().hostAddress,
    request => adviser(request, request.workerIds, request.timeoutMillis),
    () => metrics.count('malformed_host_calls'),
  );
  const servers = [
    startCallerServer(settings().callerAddress, callers),
    startReadinessServer(settings().readinessAddress, isReady),
    startMetricsServer(settings().ownIp, options.metricsPort, metrics.render),
  ];
  const unregisterLog = kernel.register(
    createLogPlugin({
      streams,
      decodeConfiguration,
      configurationKey: CONFIGURATION_KEY,
      decodeWorker: decodeWorkerEntry,
      log,
    }),
  );
  const unregisterTimers = kernel.register(createTimersPlugin(now));
  const stopAnnouncing = announce(streams, settings, log);
  log('started', {host: self, zone, region, incarnation});

  return {
    kernel,
    stop: async () => {
      isStopping = true;
      log('stopping', {host: self, term: heldTerm(kernel)});
      kernel.dispatch(RESIGN, undefined);
      stopAnnouncing();
      await sleep(settings().graceMillis * SERVE_SHARE_OF_GRACE);
      unregisterTimers();
      unregisterLog();
      servers.forEach(server => server.close());
      hostServer.forceShutdown();
      links.close();
      log('stopped', {host: self});
    },
  };
}

/** Lets other hosts know where this one is. */
function announce(
  streams: StreamLog,
  settings: () => HostSettings,
  log: Log,
): () => void {
  let hasFailed = false;
  const send = async () => {
    const {name, hostAddress: address, zone, region} = settings();
    const outcome = await streams.append({
      stream: 'hosts',
      partition: 0,
      records: [encodeHost({name, address, zone, region})],
      timeoutMillis: ANNOUNCE_TIMEOUT_MILLIS,
    });
    const failed = outcome.kind !== 'appended';
    if (failed !== hasFailed) {
      hasFailed = failed;
      log('announced', {address, outcome: outcome.kind});
    }
  };
  void send();
  const timer = setInterval(() => void send(), ANNOUNCE_MILLIS);
  return () => clearInterval(timer);
}

function startMetricsServer(
  hostname: string,
  port: number,
  render: () => string,
): Server {
  const app = new Hono();
  app.get('/metrics', context => context.text(render()));
  return serve({fetch: app.fetch, hostname, port}) as Server;
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
