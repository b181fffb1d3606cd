import type {ReadonlyTable} from '@samphireramp/kernel';
import type {Host, OwnIdentity} from './Host';

/** Hosts of each other zone that one host sends its heartbeat to. */
const CORRESPONDENTS_IN_OTHER_ZONE = 2;

/**
 * The hosts that get this host's heartbeat: all of its own zone, and a few of
 * each other zone, chosen so that every host there is heard of by somebody.
 */
export function correspondents(
  hosts: ReadonlyTable<Host>,
  self: OwnIdentity,
): Host[] {
  const byZone = groupByZone(hosts);
  const own = byZone.get(self.zone) ?? [];
  const ownPosition = own.findIndex(host => host.name === self.name);
  return [...byZone].flatMap(([zone, others]) =>
    zone === self.zone
      ? others.filter(host => host.name !== self.name)
      : chosenFrom(others, ownPosition, own.length),
  );
}

function chosenFrom(
  others: readonly Host[],
  ownPosition: number,
  ownCount: number,
): Host[] {
  const group = Math.min(ownCount, others.length);
  const chosen = new Set<number>();
  for (let step = 0; step < CORRESPONDENTS_IN_OTHER_ZONE; step++) {
    chosen.add((ownPosition + step) % group);
  }
  return others.filter((_, position) => chosen.has(position % group));
}

function groupByZone(hosts: ReadonlyTable<Host>): Map<string, Host[]> {
  const byZone = new Map<string, Host[]>();
  for (const host of hosts.values()) {
    const group = byZone.get(host.zone) ?? [];
    group.push(host);
    byZone.set(host.zone, group);
  }
  for (const group of byZone.values()) {
    group.sort((first, second) => (first.name < second.name ? -1 : 1));
  }
  return byZone;
}
