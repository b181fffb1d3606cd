import {
  type Plugin,
  type StateReader,
  type Update,
  createCommand,
  createEffect,
  mergeUnregister,
} from '@samphireramp/kernel';
import type {ListedHost, PeerMessage} from '@samphireramp/model';
import {HOSTS, type Host, LIST_READS, type OwnIdentity, isAlive} from './Host';
import {correspondents} from './correspondents';

/** The platform's host list was read. */
export const HOST_LIST_READ =
  createCommand<readonly ListedHost[]>('host-list-read');

/** The hosts that settings name, this one included. */
const SEEDS_READ = createCommand<readonly ListedHost[]>('seeds-read');

/** A message came from a peer. */
export const PEER_MESSAGE = createCommand<{
  readonly from: string;
  readonly message: PeerMessage;
}>('peer-message');

/** Time to tell the peers that this host is alive. */
export const HEARTBEAT_DUE = createCommand<void>('heartbeat-due');

/** This host begins to leave. */
export const LEAVE = createCommand<void>('leave');

/** Sends a message to a peer. */
export const SEND_TO_PEER = createEffect<{
  readonly to: string;
  readonly address: string;
  readonly message: PeerMessage;
}>('send-to-peer');

/** What a heartbeat tells about this host. */
export interface OwnStatus {
  readonly holding: string[];
  readonly revision: number;
}

/** What the membership plug-in is given. */
export interface MembershipOptions {
  readonly self: OwnIdentity;
  /** Peers that settings name, known before the list is read. */
  readonly seeds: readonly ListedHost[];
  readonly ownStatus: (state: StateReader, now: number) => OwnStatus;
}

/** Sends a message to a host that is known by name. */
export function sendToPeer(
  update: Update,
  to: string,
  message: PeerMessage,
): boolean {
  const host = update.read(HOSTS).get(to);
  if (host === undefined) {
    return false;
  }
  update.emit(SEND_TO_PEER, {to, address: host.peerAddress, message});
  return true;
}

/** Keeps the table of entry hosts by list and by heartbeat. */
export function createMembershipPlugin(options: MembershipOptions): Plugin {
  const {self} = options;

  function learn(update: Update, listed: ListedHost): void {
    const hosts = update.write(HOSTS);
    const known = hosts.get(listed.name);
    hosts.set(listed.name, {
      name: listed.name,
      zone: listed.zone,
      peerAddress: listed.peerAddress,
      leaving: known?.leaving ?? listed.state === 'leaving',
      incarnation: known?.incarnation,
      lastHeardAt: known?.lastHeardAt,
      holding: known?.holding ?? [],
      revision: known?.revision ?? 0,
    });
  }

  function onSeeds(update: Update, seeds: readonly ListedHost[]): void {
    seeds.forEach(host => learn(update, host));
    if (options.seeds.length > 0) {
      update.write(LIST_READS).set('seeds', {isFromPlatform: false});
    }
  }

  function onList(update: Update, listed: readonly ListedHost[]): void {
    listed.forEach(host => learn(update, host));
    update.write(LIST_READS).set('list', {isFromPlatform: true});
    const names = new Set(listed.map(host => host.name));
    for (const host of update.read(HOSTS).values()) {
      // The list lags: a host that still speaks stays known.
      if (!names.has(host.name) && !isKept(host, update.now)) {
        update.write(HOSTS).delete(host.name);
      }
    }
  }

  function isKept(host: Host, now: number): boolean {
    const isSeed = options.seeds.some(seed => seed.name === host.name);
    return isSeed || host.name === self.name || isAlive(host, now);
  }

  function onHeartbeatDue(update: Update): void {
    const hosts = update.write(HOSTS);
    const own = hosts.get(self.name);
    const status = options.ownStatus(update, update.now);
    const leaving = own?.leaving ?? false;
    hosts.set(self.name, {
      ...self,
      ...status,
      leaving,
      lastHeardAt: update.now,
    });
    const {incarnation} = self;
    const message = {
      type: 'heartbeat',
      leaving,
      incarnation,
      ...status,
    } as const;
    for (const host of correspondents(update.read(HOSTS), self)) {
      sendToPeer(update, host.name, message);
    }
  }

  function onPeerMessage(
    update: Update,
    {from, message}: {from: string; message: PeerMessage},
  ): void {
    const hosts = update.write(HOSTS);
    const host = hosts.get(from);
    if (host === undefined || message.type !== 'heartbeat') {
      return;
    }
    const {holding, revision, leaving, incarnation} = message;
    hosts.set(from, {
      ...host,
      holding,
      revision,
      leaving,
      incarnation,
      lastHeardAt: update.now,
    });
  }

  function onLeave(update: Update): void {
    const own = update.read(HOSTS).get(self.name);
    if (own !== undefined) {
      update.write(HOSTS).set(self.name, {...own, leaving: true});
    }
    update.dispatch(HEARTBEAT_DUE, undefined);
  }

  return kernel => {
    const unregister = mergeUnregister(
      kernel.registerSlice(HOSTS),
      kernel.registerSlice(LIST_READS),
      kernel.registerCommand(SEEDS_READ, onSeeds),
      kernel.registerCommand(HOST_LIST_READ, onList),
      kernel.registerCommand(HEARTBEAT_DUE, onHeartbeatDue),
      kernel.registerCommand(PEER_MESSAGE, onPeerMessage),
      kernel.registerCommand(LEAVE, onLeave),
    );
    const {name, zone, peerAddress} = self;
    const own: ListedHost = {name, zone, peerAddress, state: 'live'};
    kernel.dispatch(SEEDS_READ, [...options.seeds, own]);
    return unregister;
  };
}
