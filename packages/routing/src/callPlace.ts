import type {StateReader} from '@samphireramp/kernel';
import {hashText, rendezvousOrder} from '@samphireramp/membership';
import {
  type Declaration,
  KEY_SEPARATOR,
  type PeerCall,
  type WorkloadDeclaration,
} from '@samphireramp/model';
import {shardCount, shardIdOf} from '@samphireramp/ownership';
import {siteView} from '@samphireramp/scheduling';

/** The key that a call is about; undefined before one is minted. */
export function keyOf(call: PeerCall): string | undefined {
  switch (call.call) {
    case 'request':
    case 'submit':
      return call.request.key;
    case 'status':
    case 'cancel':
      return call.key;
    default:
      return call satisfies never;
  }
}

/** The call with its key filled in. */
export function withKey(call: PeerCall, key: string): PeerCall {
  switch (call.call) {
    case 'request':
      return {...call, request: {...call.request, key}};
    case 'submit':
      return {...call, request: {...call.request, key}};
    case 'status':
    case 'cancel':
      return call;
    default:
      return call satisfies never;
  }
}

/** Makes a key whose home is a zone. */
export function mintKey(zone: string, unique: string): string {
  return `${zone}${KEY_SEPARATOR}${unique}`;
}

/** The zone that decides on a key. */
export function homeZone(
  declaration: Declaration,
  key: string,
): string | undefined {
  const zones = zonesWithWorkers(declaration);
  const named = key.split(KEY_SEPARATOR, 1)[0];
  if (zones.includes(named)) {
    return named;
  }
  return rendezvousOrder(key, zones, zone => zone)[0];
}

/** The shard of a zone that decides on a key. */
export function shardInZone(
  declaration: Declaration,
  zone: string,
  key: string,
): string {
  const count = shardCount(declaration, zone);
  return shardIdOf(zone, hashText(key) % Math.max(1, count));
}

/** Zones from the nearest: this one, then the region's, then the others. */
export function zonesByDistance(
  declaration: Declaration,
  from: string,
): string[] {
  const regionOf = new Map(
    declaration.zones.map(zone => [zone.name, zone.region]),
  );
  const distance = (zone: string) => {
    if (zone === from) {
      return 0;
    }
    return regionOf.get(zone) === regionOf.get(from) ? 1 : 2;
  };
  return zonesWithWorkers(declaration).sort(
    (first, second) => distance(first) - distance(second),
  );
}

/** Whether a call may be served by any zone. */
export function isServedAnywhere(state: StateReader, call: PeerCall): boolean {
  return (
    call.call === 'request' && isIdempotentService(workloadOf(state, call))
  );
}

function isIdempotentService(
  workload: WorkloadDeclaration | undefined,
): boolean {
  return workload?.kind === 'service' && workload.idempotent;
}

function workloadOf(
  state: StateReader,
  call: Extract<PeerCall, {call: 'request'}>,
): WorkloadDeclaration | undefined {
  return siteView(state)?.workloads.get(call.request.workload);
}

function zonesWithWorkers(declaration: Declaration): string[] {
  return declaration.zones
    .map(zone => zone.name)
    .filter(zone => shardCount(declaration, zone) > 0);
}
