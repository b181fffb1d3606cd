import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {liveHosts} from '@samphireramp/hosts';
import {match} from 'ts-pattern';
import type {Advice} from './messages';

/** A call that is expected to take at least this long counts as long. */
const LONG_CALL_MILLIS = 250;
/** A call that is expected to take at least this long counts as medium. */
const MEDIUM_CALL_MILLIS = 40;
/** Share of the hosts through which no long calls are made. */
const SHARE_WITHOUT_LONG_CALLS = 0.4;
/** Share of the hosts through which no medium calls are made. */
const SHARE_WITHOUT_MEDIUM_CALLS = 0.2;
/** Maximum hosts through which no long calls are made. */
const MAX_HOSTS_WITHOUT_LONG_CALLS = 5;
/** Maximum hosts through which no medium calls are made. */
const MAX_HOSTS_WITHOUT_MEDIUM_CALLS = 3;
/** A host is skipped while a new call would wait there this long or longer. */
const MAX_WAIT_MILLIS = 150;
/** Maximum open calls through one host; the adviser refuses the 33rd. */
const MAX_OPEN_CALLS = 24;
/** A host is skipped for this long after a call through it failed. */
const FAILED_BACKOFF_MILLIS = 1500;
/** A host is skipped for this long after the adviser refused a call as busy. */
const BUSY_BACKOFF_MILLIS = 150;

/** Calls through one host to the adviser, which handles them one at a time. */
export interface HostCalls {
  /** When all open calls are expected to be answered. */
  readonly freeAt: number;
  readonly openCalls: number;
  /** The host is skipped until then, after a failed or refused call. */
  readonly avoidedUntil: number;
}

const NO_CALLS: HostCalls = {freeAt: 0, openCalls: 0, avoidedUntil: 0};

/** Calls to the adviser by the host through which they are made. */
export const CALLS_BY_HOST = createTableSlice<HostCalls>('advice-lanes');

/**
 * Chooses the host through which a call is expected to start first; undefined
 * if none can take it now. `hosts` are those of `hostsNearestFirst`. The nearest
 * ones take no medium or long calls, so that short calls don't wait behind them.
 */
export function chooseHost(
  state: StateReader,
  hosts: readonly string[],
  expectedMillis: number,
  now: number,
): string | undefined {
  const [self] = hosts;
  const callsByHost = state.read(CALLS_BY_HOST);
  const firstIndex = Math.min(
    hosts.length - 1,
    firstAllowedIndex(hosts.length, expectedMillis),
  );
  let bestHost: string | undefined;
  let bestStart = now + MAX_WAIT_MILLIS;
  for (let index = firstIndex; index < hosts.length; index++) {
    const host = hosts[index];
    const calls = callsByHost.get(host) ?? NO_CALLS;
    const isFull = calls.openCalls >= MAX_OPEN_CALLS;
    // This host isn't skipped after a failed or refused call.
    if (isFull || (calls.avoidedUntil > now && host !== self)) {
      continue;
    }
    const startsAt = Math.max(now, calls.freeAt);
    if (startsAt < bestStart) {
      bestHost = host;
      bestStart = startsAt;
    }
  }
  return bestHost;
}

/** Index of the nearest host that takes calls of this expected duration. */
function firstAllowedIndex(hostCount: number, expectedMillis: number): number {
  if (expectedMillis >= LONG_CALL_MILLIS) {
    return Math.min(
      Math.ceil(hostCount * SHARE_WITHOUT_LONG_CALLS),
      MAX_HOSTS_WITHOUT_LONG_CALLS,
    );
  }
  return expectedMillis >= MEDIUM_CALL_MILLIS
    ? Math.min(
        Math.ceil(hostCount * SHARE_WITHOUT_MEDIUM_CALLS),
        MAX_HOSTS_WITHOUT_MEDIUM_CALLS,
      )
    : 0;
}

/**
 * Lists this host, then the hosts of its region, then the others. As long calls
 * skip the first ones, short calls stay in the region.
 */
export function hostsNearestFirst(
  state: StateReader,
  self: string,
  now: number,
): readonly string[] {
  const hosts = liveHosts(state, now);
  const region = hosts.find(({name}) => name === self)?.region;
  const distance = (host: {name: string; region: string}) =>
    host.region === region ? 0 : 1;
  const others = hosts
    .filter(({name}) => name !== self)
    .sort((a, b) => distance(a) - distance(b) || (a.name < b.name ? -1 : 1));
  return [self, ...others.map(({name}) => name)];
}

/** Records the start of a call through a host. */
export function addCall(
  update: Update,
  host: string,
  expectedMillis: number,
): void {
  const callsByHost = update.write(CALLS_BY_HOST);
  const calls = callsByHost.get(host) ?? NO_CALLS;
  callsByHost.set(host, {
    ...calls,
    freeAt: Math.max(update.now, calls.freeAt) + expectedMillis,
    openCalls: calls.openCalls + 1,
  });
}

/** Records the end of a call through a host. */
export function removeCall(
  update: Update,
  host: string,
  outcome: Advice['kind'],
): void {
  const callsByHost = update.write(CALLS_BY_HOST);
  const calls = callsByHost.get(host) ?? NO_CALLS;
  const openCalls = Math.max(0, calls.openCalls - 1);
  callsByHost.set(host, {
    openCalls,
    freeAt: openCalls === 0 ? update.now : calls.freeAt,
    avoidedUntil: Math.max(
      calls.avoidedUntil,
      match(outcome)
        .with('answered', () => 0)
        .with('busy', () => update.now + BUSY_BACKOFF_MILLIS)
        .with('failed', () => update.now + FAILED_BACKOFF_MILLIS)
        .exhaustive(),
    ),
  });
}
