import {createCallerHttp, type CallerHttp} from '@samphireramp/caller-http';
import {createDecisionPlugins} from '@samphireramp/decisions';
import {type Kernel, createKernel, mergeUnregister} from '@samphireramp/kernel';
import {
  LEAVE,
  type OwnIdentity,
  isConfigurationReader,
} from '@samphireramp/membership';
import {RELEASE_SHARDS} from '@samphireramp/ownership';
import {type PeerKeys, createPeerGrpc} from '@samphireramp/peer-grpc';
import {
  createConfigurationClientPlugin,
  createHostListClientPlugin,
  createJournalClientPlugin,
  createLogClient,
  createWorkerClientPlugin,
  leaveHostList,
} from '@samphireramp/platform-client';
import {chooseBestFit} from '@samphireramp/placement';
import {CALLS} from '@samphireramp/routing';
import {OPEN_REQUESTS, standardPolicies} from '@samphireramp/scheduling';
import type {EntrySettings} from '@samphireramp/settings';
import {
  type Metrics,
  createLogger,
  createMetrics,
} from '@samphireramp/telemetry';
import {randomUUID} from 'node:crypto';
import {parseAddress, parseSeed} from './addresses';
import {createObserverPlugin} from './observerPlugin';
import {createStatusServer} from './statusServer';
import {createTimersPlugin} from './timersPlugin';

const EXCHANGE_MILLIS = 1000;
const DRAIN_POLL_MILLIS = 25;
/** Open requests may hold up the release of the shards for this long. */
const RELEASE_AFTER_MILLIS = 2000;

/** A running entry host. */
export interface EntryHost {
  readonly kernel: Kernel;
  readonly metrics: Metrics;
  /** Leaves, answers what is open, gives back its leases, and ends. */
  stop(): Promise<void>;
}

const log = createLogger('entry');
const now = () => performance.now();

/** Builds an entry host out of its plug-ins and starts it. */
export async function createEntryHost(
  settings: EntrySettings,
  keys: PeerKeys | undefined,
): Promise<EntryHost> {
  const self: OwnIdentity = {
    name: settings.name,
    zone: settings.zone,
    peerAddress: settings.peerAddress,
    incarnation: `${settings.name}.${randomUUID()}`,
  };
  const metrics = createMetrics('samphireramp');
  const kernel = createKernel({
    now,
    onError: (error, source) => {
      metrics.count('errors', {source});
      const detail = error instanceof Error ? error.stack : String(error);
      log('update-failed', {source, detail});
    },
  });
  const callers = createCallers(settings);
  const peers = createPeerGrpc({
    self,
    keys,
    now,
    onEvent: (event, detail) => {
      metrics.count('peer_events', {event});
      log(event, {detail});
    },
  });
  const logClient = createLogClient(settings.logUrl);
  const plugins = [
    createObserverPlugin({metrics, log}),
    ...createDecisionPlugins({
      self,
      seeds: settings.peers.map(parseSeed),
      retentionMillis: settings.retentionMillis,
      startedAt: now(),
      policies: standardPolicies,
      choose: chooseBestFit,
      wallClock: Date.now,
      random: Math.random,
      unique: randomUUID,
    }),
    peers.plugin,
    callers.plugin,
    createWorkerClientPlugin({exchangeMillis: EXCHANGE_MILLIS, now}),
    createJournalClientPlugin(logClient),
    createConfigurationClientPlugin({
      log: logClient,
      isReader: () => isConfigurationReader(kernel, self, now()),
    }),
    createHostListClientPlugin({url: settings.hostListUrl, self}),
    createStatusServer({
      ...parseAddress(settings.statusAddress),
      self,
      metrics,
      now,
    }),
    createTimersPlugin({retentionMillis: settings.retentionMillis}),
  ];
  const unregister = mergeUnregister(
    ...plugins.map(plugin => kernel.register(plugin)),
  );
  await peers.listen();
  log('started', {host: self.name, zone: self.zone});
  return {
    kernel,
    metrics,
    stop: () => stop(kernel, settings, callers, unregister),
  };
}

function createCallers(settings: EntrySettings): CallerHttp {
  return createCallerHttp({
    ...parseAddress(settings.callerAddress),
    callMillis: settings.callMillis,
    now,
    unique: randomUUID,
    onListening: () => log('listening', {address: settings.callerAddress}),
  });
}

async function stop(
  kernel: Kernel,
  settings: EntrySettings,
  callers: CallerHttp,
  unregister: () => void,
): Promise<void> {
  const giveUpAt = now() + settings.graceMillis;
  log('stopping', {openCalls: callers.openCalls()});
  kernel.dispatch(LEAVE, undefined);
  await leaveHostList(settings.hostListUrl, settings.name);
  const drained = callers.drain();
  const releaseAt = Math.min(giveUpAt, now() + RELEASE_AFTER_MILLIS);
  await until(() => kernel.read(OPEN_REQUESTS).size === 0, releaseAt);
  kernel.dispatch(RELEASE_SHARDS, undefined);
  const isQuiet = () =>
    kernel.read(OPEN_REQUESTS).size + kernel.read(CALLS).size === 0;
  await until(isQuiet, giveUpAt);
  await Promise.race([drained, until(() => false, giveUpAt)]);
  unregister();
  log('stopped', {});
}

async function until(isDone: () => boolean, latest: number): Promise<void> {
  while (!isDone() && now() < latest) {
    await new Promise(resolve => {
      setTimeout(resolve, DRAIN_POLL_MILLIS);
    });
  }
}
