import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {liveHosts} from '@samphireramp/hosts';
import {match} from 'ts-pattern';
import type {Advice} from './messages';

/** Calls expected to take at least this long count as long. */
const LONG_CALL_MILLIS = 250;
/** Calls expected to take at least this long count as medium. */
const MEDIUM_CALL_MILLIS = 40;
/** Share of the hosts through which no long calls are made. */
const SHARE_WITHOUT_LONG_CALLS = 0.4;
/** Share of the hosts through which no medium calls are made. */
const SHARE_WITHOUT_MEDIUM_CALLS = 0.2;
/** A host is skipped while a new call would wait this long or longer. */
const MAX_WAIT_MILLIS = 1200;
/** Maximum open calls of one host; the adviser refuses the 33rd. */
const MAX_OPEN_CALLS = 24;
/** A host is skipped for this long after a call through it failed. */
const FAILED_BACKOFF_MILLIS = 1500;
/** A host is skipped for this long after the adviser refused a call as busy. */
const BUSY_BACKOFF_MILLIS = 150;

/** The calls of one host to the adviser, which handles them one at a time. */
export interface Lane {
  /** When all open calls are expected to be answered. */
  readonly freeAt: number;
  readonly openCalls: number;
  /** The host is skipped until then, as calls through it failed. */
  readonly avoidedUntil: number;
}

const NEW_LANE: Lane = {freeAt: 0, openCalls: 0, avoidedUntil: 0};

/** Calls to the adviser by the host through which they are made. */
export const LANES = createTableSlice<Lane>('advice-lanes');

/**
 * Chooses the host through which a call is expected to start first; undefined
 * if none can take it now. Some hosts take no medium or long calls, so that
 * short calls don't wait behind them.
 */
export function chooseHost(
  state: StateReader,
  self: string,
  millis: number,
  now: number,
): string | undefined {
  const hosts = hostsNearestFirst(state, self, now);
  const lanes = state.read(LANES);
  const first = Math.min(
    hosts.length - 1,
    firstAllowedHost(hosts.length, millis),
  );
  let bestHost: string | undefined;
  let bestStart = now + MAX_WAIT_MILLIS;
  for (const host of hosts.slice(first)) {
    const lane = lanes.get(host) ?? NEW_LANE;
    const isFull = lane.openCalls >= MAX_OPEN_CALLS;
    // Calls through this host itself are made even after a failure.
    if (isFull || (lane.avoidedUntil > now && host !== self)) {
      continue;
    }
    const startsAt = Math.max(now, lane.freeAt);
    if (startsAt < bestStart) {
      bestHost = host;
      bestStart = startsAt;
    }
  }
  return bestHost;
}

function firstAllowedHost(hostCount: number, millis: number): number {
  if (millis >= LONG_CALL_MILLIS) {
    return Math.ceil(hostCount * SHARE_WITHOUT_LONG_CALLS);
  }
  return millis >= MEDIUM_CALL_MILLIS
    ? Math.ceil(hostCount * SHARE_WITHOUT_MEDIUM_CALLS)
    : 0;
}

/**
 * This host, then the hosts of its region, then the others. Short calls may use
 * the first ones, so that they stay in the region.
 */
function hostsNearestFirst(
  state: StateReader,
  self: string,
  now: number,
): string[] {
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
export function addCall(update: Update, host: string, millis: number): void {
  const lanes = update.write(LANES);
  const lane = lanes.get(host) ?? NEW_LANE;
  lanes.set(host, {
    ...lane,
    freeAt: Math.max(update.now, lane.freeAt) + millis,
    openCalls: lane.openCalls + 1,
  });
}

/** Records the end of a call through a host. */
export function removeCall(
  update: Update,
  host: string,
  outcome: Advice['kind'],
): void {
  const lanes = update.write(LANES);
  const lane = lanes.get(host) ?? NEW_LANE;
  const openCalls = Math.max(0, lane.openCalls - 1);
  lanes.set(host, {
    openCalls,
    freeAt: openCalls === 0 ? update.now : lane.freeAt,
    avoidedUntil: Math.max(
      lane.avoidedUntil,
      match(outcome)
        .with('answered', () => 0)
        .with('busy', () => update.now + BUSY_BACKOFF_MILLIS)
        .with('failed', () => update.now + FAILED_BACKOFF_MILLIS)
        .exhaustive(),
    ),
  });
}
