import type {Host} from '@samphireramp/hosts';

/**
 * Hosts of each availability zone that follow the journal: two, so that the loss
 * of one leaves another there.
 */
const STANDBYS_PER_ZONE = 2;

/**
 * Chooses the hosts that follow the journal: in each availability zone those that
 * do so already, then those with the most CPU cores.
 */
export function chooseStandbys(
  hosts: readonly Host[],
  current: readonly string[],
): string[] {
  const zones = [...new Set(hosts.map(({zone}) => zone))].sort();
  return zones.flatMap(zone =>
    hosts
      .filter(host => host.zone === zone)
      .sort((a, b) => compareHosts(a, b, current))
      .slice(0, STANDBYS_PER_ZONE)
      .map(({name}) => name),
  );
}

function compareHosts(a: Host, b: Host, current: readonly string[]): number {
  const isCurrent = ({name}: Host) => Number(current.includes(name));
  return (
    isCurrent(b) - isCurrent(a) ||
    (b.cores ?? 0) - (a.cores ?? 0) ||
    (a.name < b.name ? -1 : 1)
  );
}
