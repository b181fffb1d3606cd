import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {liveHosts} from '@samphireramp/hosts';
import {match} from 'ts-pattern';
import type {Advice} from './messages';

/** A call that takes this long or longer is long. */
const LONG_MILLIS = 250;
/** ... and one that takes this long is at least of middle length. */
const MIDDLE_MILLIS = 40;
/** Share of the hosts that long calls keep away from. */
const SHARE_WITHOUT_LONG = 0.4;
/** Share of the hosts that calls of middle length keep away from. */
const SHARE_WITHOUT_MIDDLE = 0.2;
/** A host whose calls would wait longer gets no more for now. */
const MOST_WAIT_MILLIS = 1200;
/** Calls of one host that may wait; the adviser refuses the 33rd. */
const MOST_OPEN_CALLS = 24;
/** A host through which a call failed is left out for this long. */
const FAILED_MILLIS = 1500;
/** ... and one whose calls the adviser has too many of, for this long. */
const BUSY_MILLIS = 150;

/** The adviser handles one call of each host at a time: one lane a host. */
export interface Lane {
  /** When the calls under way should be answered. */
  readonly freeAt: number;
  readonly openCalls: number;
  readonly failedUntil: number;
}

const NEW_LANE: Lane = {freeAt: 0, openCalls: 0, failedUntil: 0};

/** Lanes by host. */
export const LANES = createTableSlice<Lane>('advice-lanes');

/**
 * Chooses the host through which a call is answered first. Long calls leave
 * some hosts alone, so that short ones never wait behind them.
 */
export function chooseLane(
  state: StateReader,
  self: string,
  millis: number,
  now: number,
): string | undefined {
  const hosts = hostsInOrder(state, self, now);
  const lanes = state.read(LANES);
  const first = Math.min(hosts.length - 1, firstLane(hosts.length, millis));
  let best: string | undefined;
  let bestAt = now + MOST_WAIT_MILLIS;
  for (const host of hosts.slice(first)) {
    const lane = lanes.get(host) ?? NEW_LANE;
    const isFull = lane.openCalls >= MOST_OPEN_CALLS;
    // This host itself is asked again whatever failed before.
    if (isFull || (lane.failedUntil > now && host !== self)) {
      continue;
    }
    const startsAt = Math.max(now, lane.freeAt);
    if (startsAt < bestAt) {
      best = host;
      bestAt = startsAt;
    }
  }
  return best;
}

function firstLane(hosts: number, millis: number): number {
  if (millis >= LONG_MILLIS) {
    return Math.ceil(hosts * SHARE_WITHOUT_LONG);
  }
  return millis >= MIDDLE_MILLIS ? Math.ceil(hosts * SHARE_WITHOUT_MIDDLE) : 0;
}

/** This host first, then those of its region, so that short calls stay near. */
function hostsInOrder(state: StateReader, self: string, now: number): string[] {
  const hosts = liveHosts(state, now);
  const region = hosts.find(({name}) => name === self)?.region;
  const rank = (host: {name: string; region: string}) =>
    host.region === region ? 0 : 1;
  const others = hosts
    .filter(({name}) => name !== self)
    .sort((a, b) => rank(a) - rank(b) || (a.name < b.name ? -1 : 1));
  return [self, ...others.map(({name}) => name)];
}

/** Counts a call that a lane takes on. */
export function openLane(update: Update, host: string, millis: number): void {
  const lanes = update.write(LANES);
  const lane = lanes.get(host) ?? NEW_LANE;
  lanes.set(host, {
    ...lane,
    freeAt: Math.max(update.now, lane.freeAt) + millis,
    openCalls: lane.openCalls + 1,
  });
}

/** Counts a call that came to its end. */
export function closeLane(
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
    failedUntil: Math.max(
      lane.failedUntil,
      match(outcome)
        .with('answered', () => 0)
        .with('busy', () => update.now + BUSY_MILLIS)
        .with('failed', () => update.now + FAILED_MILLIS)
        .exhaustive(),
    ),
  });
}
