import {createTableSlice, type StateReader} from '@samphireramp/kernel';
import {CONFIGURATION_STREAM} from '@samphireramp/model';
import * as z from 'zod/mini';
import {rendezvousOrder} from './rendezvousOrder';

/** What this host knows of an entry host, itself included. */
export const hostSchema = z.object({
  name: z.string(),
  zone: z.string(),
  peerAddress: z.string(),
  leaving: z.boolean(),
  /** Names the run of the host that was last heard. */
  incarnation: z.optional(z.string()),
  /** Monotonic milliseconds; undefined before the first heartbeat. */
  lastHeardAt: z.optional(z.number()),
  /** Shards it says it holds. */
  holding: z.array(z.string()),
  /** Revision it says is in force. */
  revision: z.int(),
});

/** What this host knows of an entry host, itself included. */
export type Host = z.infer<typeof hostSchema>;

/** Entry hosts by name. */
export const HOSTS = createTableSlice<Host>('hosts');

/** That hosts were named to this one: by settings, or by the list. */
export const listReadSchema = z.object({
  isFromPlatform: z.boolean(),
});

/** The latest naming of hosts: one row or none. */
export const LIST_READS =
  createTableSlice<z.infer<typeof listReadSchema>>('list-reads');

/** Whether the hosts of the zone are known, from settings or the list. */
export function knowsZone(state: StateReader): boolean {
  return state.read(LIST_READS).size > 0;
}

/** A host is taken for dead when it was not heard for this long. */
export const SILENCE_MILLIS = 2500;

/** Who this process is. */
export interface OwnIdentity {
  readonly name: string;
  /** Names this run of the host. */
  readonly incarnation: string;
  readonly zone: string;
  readonly peerAddress: string;
}

/** Whether a host was heard lately. */
export function isAlive(host: Host, now: number): boolean {
  return (
    host.lastHeardAt !== undefined && now - host.lastHeardAt < SILENCE_MILLIS
  );
}

/** Hosts of a zone that were heard lately, in order of name. */
export function liveHosts(
  state: StateReader,
  zone: string,
  now: number,
): Host[] {
  return [...state.read(HOSTS).values()]
    .filter(host => host.zone === zone && isAlive(host, now))
    .sort((first, second) => (first.name < second.name ? -1 : 1));
}

/** The live host that says it holds a shard. */
export function holderOf(
  state: StateReader,
  shardId: string,
  now: number,
): Host | undefined {
  for (const host of state.read(HOSTS).values()) {
    if (host.holding.includes(shardId) && isAlive(host, now)) {
      return host;
    }
  }
  return undefined;
}

/** Live hosts of a zone that stay, in order of preference for a subject. */
export function preferredHosts(
  state: StateReader,
  zone: string,
  subject: string,
  now: number,
): Host[] {
  const staying = liveHosts(state, zone, now).filter(host => !host.leaving);
  return rendezvousOrder(subject, staying, host => host.name);
}

/** Whether this host reads the configuration stream for its zone. */
export function isConfigurationReader(
  state: StateReader,
  self: OwnIdentity,
  now: number,
): boolean {
  const [first] = preferredHosts(state, self.zone, CONFIGURATION_STREAM, now);
  return first === undefined || first.name === self.name;
}
