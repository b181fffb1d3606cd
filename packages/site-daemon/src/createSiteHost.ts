import {
  type CloseReason,
  createTurnQueue,
  limitsOfHost,
  startHttpServer,
} from '@samphireramp/connections';
import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import {createHostLinks, startHostServer} from '@samphireramp/host-links';
import {ANNOUNCE_INTERVAL_MILLIS, createHostsPlugin} from '@samphireramp/hosts';
import {RESIGN, createHoldingPlugin, heldTerm} from '@samphireramp/holding';
import {STATES_COPY, createJobStatesPlugin} from '@samphireramp/job-states';
import {createIntakePlugin} from '@samphireramp/intake';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import {
  CONFIGURATION_KEY,
  type HostSettings,
  MAX_HEDGED_READS,
  createAdviser,
  createHttpClient,
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
import {createAccountGauges} from './accountGauges';
import {createAdmissionReporter} from './admissionReporter';
import {createAdvicePlugin} from './advicePlugin';
import {createAnswerReporter} from './answerReporter';
import {createCallerService} from './callerService';
import {createConfigurationObserver} from './configurationObserver';
import {createRunTimeGauges} from './runTimeGauges';
import {createPlacementPlugins} from './placementPlugins';
import {createStreamLogPlugin} from './streamLogPlugin';
import {createLoopUsePlugin} from './loopUsePlugin';
import {createObserverPlugin} from './observerPlugin';
import {createTimersPlugin} from './timersPlugin';
import {createWorkersPlugin} from './workersPlugin';

/** Maximum HTTP connections per address; further calls wait for a free one. */
const CONNECTIONS_PER_ADDRESS = 48;
/** Time for a connection for reads of the configuration, also over a slow way. */
const CONFIGURATION_CONNECT_MILLIS = 4000;
/** Maximum age of the last read of the job states for a host to be ready. */
const MAX_READY_READ_AGE_MILLIS = 1500;
/** Share of the grace period for which a stopping host still serves callers. */
const GRACE_SHARE_FOR_CALLERS = 0.75;
/** Timeout of the append that announces the address of this host. */
const ANNOUNCE_APPEND_TIMEOUT_MILLIS = 1500;
/** Claim delay in round trips to the log: hosts near the log claim first. */
const CLAIM_DELAY_ROUND_TRIPS = 4;
/** Upper bound of the part of the claim delay that depends on round trips. */
const MAX_ROUND_TRIP_CLAIM_DELAY_MILLIS = 400;
/** Hosts with fewer CPU cores than this let other hosts claim first. */
const LOW_CPU_CORES = 0.5;
/** Extra claim delay of a host with fewer than `LOW_CPU_CORES`. */
const LOW_CPU_CLAIM_DELAY_MILLIS = 300;
/**
 * Upper bound of the random part of the claim delay, which makes it unlikely that
 * several hosts claim the site at once.
 */
const CLAIM_JITTER_MILLIS = 80;
/**
 * Upper bound of the time that a host waits, beyond others, before it follows the
 * journal since the holder is silent.
 */
const MAX_FOLLOW_DELAY_MILLIS = 1000;
/**
 * Time for which an ended job is kept beyond the setting `keepEndedMillis`, for
 * callers that retry late.
 */
const KEEP_MARGIN_MILLIS = 60_000;

/** A running host. */
export interface SiteHost {
  readonly kernel: Kernel;
  /** Resigns, serves callers for part of the grace period, then shuts down. */
  stop(): Promise<void>;
}

/** Options of `createSiteHost`. */
export interface SiteHostOptions {
  /** Current settings of the host; a reload may change them. */
  readonly settings: () => HostSettings;
  readonly metricsPort: number;
  /** Whether run times are learned from finished runs. */
  readonly learnRunTimes: boolean;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Number of log lines dropped since the start, by event. */
  readonly droppedLogLines: () => ReadonlyMap<string, number>;
}

/** Starts a host: its plug-ins, servers and timers. */
export async function createSiteHost(
  options: SiteHostOptions,
): Promise<SiteHost> {
  const {settings, random} = options;
  const {name: self, zone, region, partitions} = settings();
  const log = createLogger('host');
  const metrics = createMetrics('samphireramp');
  metrics.gauges('log_lines_left_out', 'event', options.droppedLogLines);
  const now = () => performance.now();
  const wallClock = () => Date.now();
  let isStopping = false;
  let passMillis = 0;

  const httpClient = createHttpClient(CONNECTIONS_PER_ADDRESS);
  const storeLog = createStoreLog({
    client: httpClient,
    configurationClient: createHttpClient(
      MAX_HEDGED_READS,
      CONFIGURATION_CONNECT_MILLIS,
    ),
    address: () => settings().storeAddress,
    partitions,
    limits: settings,
    now,
  });
  const adviser = createAdviser(httpClient, () => settings().adviserAddress);
  const hostLinks = createHostLinks();
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
      MAX_ROUND_TRIP_CLAIM_DELAY_MILLIS,
      storeLog.roundTripMillis() * CLAIM_DELAY_ROUND_TRIPS,
    ) +
    ((settings().cores ?? Infinity) < LOW_CPU_CORES
      ? LOW_CPU_CLAIM_DELAY_MILLIS
      : 0) +
    random() * CLAIM_JITTER_MILLIS;
  const followDelayMillis = random() * MAX_FOLLOW_DELAY_MILLIS;
  const incarnation = randomUUID();
  const keepEndedMillis = settings().keepEndedMillis + KEEP_MARGIN_MILLIS;

  for (const plugin of [
    createConfigurationObserver({metrics, log, now}),
    createHostsPlugin(),
    createHoldingPlugin({
      self,
      incarnation,
      roundTripMillis: storeLog.roundTripMillis,
      claimDelayMillis,
    }),
    createJobStatesPlugin({
      self,
      incarnation,
      roundTripMillis: storeLog.roundTripMillis,
      followDelayMillis: () => followDelayMillis,
    }),
    createIntakePlugin({partitions}),
    createLoopUsePlugin({
      readTimes: () => ({
        ...performance.eventLoopUtilization(),
        passes: passMillis,
      }),
      metrics,
      log,
    }),
    createObserverPlugin({
      metrics,
      log,
      gaugeSources: [
        createAccountGauges({now, wallClock}),
        createRunTimeGauges(now),
      ],
    }),
    ...createPlacementPlugins({
      self,
      wallClock,
      partitions,
      keepEndedMillis,
      learnRunTimes: options.learnRunTimes,
    }),
    createWorkersPlugin(createWorkerClient(httpClient), now),
    createAdvicePlugin(self, adviser, hostLinks),
  ]) {
    kernel.register(plugin);
  }
  const callerService = createCallerService(kernel, {
    now,
    wallClock,
    visibleMillis: () => settings().visibleMillis,
    maxRecordBytes: () => settings().maxRecordBytes,
    delay: sleep,
    isStopping: () => isStopping,
    admissionTerms: () => ({
      applyMillis: settings().configurationApplyMillis,
      failsClosed: settings().revokeFailsClosed,
      revokeMillis: settings().revokeMillis,
    }),
    ...createAdmissionReporter(kernel, {log, metrics, now}),
    ...createAnswerReporter(kernel, {log, metrics, now}),
  });
  const isReady = () =>
    !isStopping &&
    kernel.read(SITE_CONFIGURATION).get() !== undefined &&
    now() - kernel.read(STATES_COPY).get().readAt < MAX_READY_READ_AGE_MILLIS;
  const {memoryBytes, descriptors} = settings();
  const limits = limitsOfHost(memoryBytes, descriptors);
  const turns = createTurnQueue({now, defer: setImmediate});
  const reportClosed = (port: string) => (reason: CloseReason) => {
    metrics.count('closed_connections', {port, reason});
    log('connection-closed', {port, detail: reason});
  };
  const servers = [
    startHostServer({
      address: settings().hostAddress,
      limits: limits.hostLinks,
      onClosed: reportClosed('hosts'),
      advise: request =>
        adviser(request, request.workerIds, request.timeoutMillis),
      onMalformed: () => metrics.count('malformed_host_calls'),
    }),
    startCallerServer(
      {
        address: settings().callerAddress,
        limits: limits.callers,
        turns,
        onClosed: reportClosed('callers'),
      },
      callerService,
    ),
    startReadinessServer(
      {
        address: settings().readinessAddress,
        limits: limits.probes,
        turns,
        onClosed: reportClosed('readiness'),
      },
      isReady,
    ),
    startHttpServer({
      address: `${settings().ownIp}:${options.metricsPort}`,
      limits: limits.probes,
      turns,
      onClosed: reportClosed('metrics'),
      fetch: createMetricsApp(metrics.render).fetch,
    }),
  ];
  const unregisterLog = kernel.register(
    createStreamLogPlugin({
      streams: storeLog,
      decodeConfiguration,
      configurationKey: CONFIGURATION_KEY,
      decodeWorker: decodeWorkerEntry,
      maxConfigurationAgeMillis: settings().revokeFailsClosed
        ? settings().revokeMillis
        : undefined,
      log,
      countMalformed: stream => metrics.count('malformed_records', {stream}),
      countFailedRead: (stream, kind) =>
        metrics.count('failed_reads', {stream, kind}),
    }),
  );
  const unregisterTimers = kernel.register(
    createTimersPlugin(now, (scope, millis) => {
      passMillis += millis;
      metrics.time('placement_pass', millis, {scope});
    }),
  );
  const stopAnnouncing = announce(storeLog, settings, log);
  log('started', {host: self, zone, region, incarnation});

  return {
    kernel,
    stop: async () => {
      isStopping = true;
      log('stopping', {host: self, term: heldTerm(kernel)});
      kernel.dispatch(RESIGN, undefined);
      stopAnnouncing();
      await sleep(settings().graceMillis * GRACE_SHARE_FOR_CALLERS);
      unregisterTimers();
      unregisterLog();
      servers.forEach(server => server.close());
      hostLinks.close();
      log('stopped', {host: self});
    },
  };
}

/**
 * Appends the address of this host to the stream `hosts` at an interval.
 * Returns a function that stops the announcements.
 */
function announce(
  streams: StreamLog,
  settings: () => HostSettings,
  log: Log,
): () => void {
  let wasFailing = false;
  const appendHostRecord = async () => {
    const {name, hostAddress: address, zone, region, cores} = settings();
    const outcome = await streams.append({
      stream: 'hosts',
      partition: 0,
      records: [encodeHost({name, address, zone, region, cores})],
      timeoutMillis: ANNOUNCE_APPEND_TIMEOUT_MILLIS,
    });
    const isFailing = outcome.kind !== 'appended';
    if (isFailing !== wasFailing) {
      wasFailing = isFailing;
      log('announced', {address, outcome: outcome.kind});
    }
  };
  void appendHostRecord();
  const timer = setInterval(
    () => void appendHostRecord(),
    ANNOUNCE_INTERVAL_MILLIS,
  );
  return () => clearInterval(timer);
}

function createMetricsApp(render: () => string): Hono {
  const app = new Hono();
  app.get('/metrics', context => context.text(render()));
  return app;
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
