import {
  type Plugin,
  type Update,
  createCommand,
  createEffect,
  mergeUnregister,
} from '@samphireramp/kernel';
import {declarationInForce} from '@samphireramp/configuration';
import {
  HOSTS,
  type OwnIdentity,
  PEER_MESSAGE,
  holderOf,
  isAlive,
  preferredHosts,
  rendezvousOrder,
  sendToPeer,
} from '@samphireramp/membership';
import type {
  CallOutcome,
  Declaration,
  NotRunReason,
  PeerCall,
  PeerMessage,
} from '@samphireramp/model';
import {holdsShard, zoneOfShard} from '@samphireramp/ownership';
import {CALL_DECIDED, LOCAL_CALL} from '@samphireramp/scheduling';
import {CALLS, type OpenCall} from './CallState';
import {
  homeZone,
  isServedAnywhere,
  keyOf,
  mintKey,
  shardInZone,
  withKey,
  zonesByDistance,
} from './callPlace';

/** A call came from a caller. Times in monotonic milliseconds. */
export const CALL_ARRIVED = createCommand<{
  readonly callId: string;
  readonly call: PeerCall;
  readonly deadline: number;
  readonly hops: number;
  readonly from?: {readonly peer: string; readonly callId: string};
}>('call-arrived');

/** Time to send calls again and to end the late ones. */
export const CALL_TICK = createCommand<void>('call-tick');

/** A call could not be handed to a connection: it surely was not sent. */
export const CALL_NOT_SENT = createCommand<{readonly sendId: string}>(
  'call-not-sent',
);

/** Answers the caller. */
export const ANSWER_CALLER = createEffect<{
  readonly callId: string;
  readonly outcome: CallOutcome;
}>('answer-caller');

/** A late, doubled or unknown answer was dropped. */
export const ANSWER_DROPPED = createEffect<{readonly sendId: string}>(
  'answer-dropped',
);

const LARGEST_HOPS = 3;
/** A send with no answer is followed by another after this. */
const PROGRESS_MILLIS = 1000;
const SHORTEST_PAUSE_MILLIS = 25;
const LONGEST_PAUSE_MILLIS = 200;

/** Refusals that another moment or another place may lift. */
const PASSING_REASONS: readonly NotRunReason[] = [
  'no-owner',
  'recovering',
  'stopping',
  'home-unreachable',
  'no-configuration',
  'not-durable',
];

/** Refusals that another zone may not share. */
const PLACE_REASONS: readonly NotRunReason[] = [
  ...PASSING_REASONS,
  'queue-full',
  'can-never-fit',
];

/** What the routing plug-in is given. */
export interface RoutingOptions {
  readonly self: OwnIdentity;
  /** Draws from [0, 1). */
  readonly random: () => number;
  /** Makes text that no other call has. */
  readonly unique: () => string;
}

/** Brings each call to the host that decides on it, and its outcome back. */
export function createRoutingPlugin(options: RoutingOptions): Plugin {
  const {self} = options;

  function onArrived(
    update: Update,
    arrived: {
      callId: string;
      call: PeerCall;
      deadline: number;
      hops: number;
      from?: {peer: string; callId: string};
    },
  ): void {
    const key = keyOf(arrived.call) ?? mintKey(self.zone, options.unique());
    const row: OpenCall = {
      ...arrived,
      call: withKey(arrived.call, key),
      key,
      shardIds: [],
      unresolved: [],
      sends: 0,
      wakeAt: update.now,
    };
    advance(update, row);
  }

  /** Sends the call to the place that is next, or waits for one. */
  function advance(update: Update, row: OpenCall): void {
    const declaration = declarationInForce(update);
    if (declaration === undefined) {
      pause(update, row, refusal(row, 'no-configuration', 'none is in force'));
      return;
    }
    const shardIds =
      row.shardIds.length > 0
        ? row.shardIds
        : shardsFor(update, declaration, row);
    const next = {...row, shardIds};
    const [shardId] = shardIds;
    if (shardId === undefined) {
      const detail = 'no zone has workers';
      pause(update, next, refusal(row, 'no-owner', detail));
    } else if (holdsShard(update, shardId, update.now)) {
      decideHere(update, next, shardId);
    } else {
      passOn(update, next, shardId);
    }
  }

  function shardsFor(
    update: Update,
    declaration: Declaration,
    {call, key}: OpenCall,
  ): string[] {
    const home = homeZone(declaration, key);
    const zones = isServedAnywhere(update, call)
      ? zonesByDistance(declaration, self.zone)
      : [home];
    return zones.flatMap(zone =>
      zone === undefined ? [] : [shardInZone(declaration, zone, key)],
    );
  }

  function decideHere(update: Update, row: OpenCall, shardId: string): void {
    const {sendId, row: sent} = markSent(update, row, self.name);
    update.write(CALLS).set(row.callId, {...sent, wakeAt: row.deadline});
    const {key, call, deadline} = row;
    update.dispatch(LOCAL_CALL, {
      callId: sendId,
      shardId,
      key,
      call,
      deadline,
    });
  }

  function passOn(update: Update, row: OpenCall, shardId: string): void {
    const target = targetFor(update, shardId, row);
    if (target === undefined || row.hops >= LARGEST_HOPS) {
      const detail = `no host is known to hold shard ${shardId}`;
      pause(update, row, refusal(row, 'no-owner', detail));
      return;
    }
    const {sendId, row: sent} = markSent(update, row, target);
    update.write(CALLS).set(row.callId, sent);
    sendToPeer(update, target, {
      type: 'call',
      callId: sendId,
      remainingMillis: row.deadline - update.now,
      hops: row.hops + 1,
      call: row.call,
    });
  }

  /** The holder; else, for another zone, a host there that may know it. */
  function targetFor(
    update: Update,
    shardId: string,
    row: OpenCall,
  ): string | undefined {
    const holder = holderOf(update, shardId, update.now);
    if (holder !== undefined && holder.name !== self.name) {
      return holder.name;
    }
    const zone = zoneOfShard(shardId);
    if (zone === self.zone) {
      return undefined;
    }
    const heard = preferredHosts(update, zone, shardId, update.now);
    const listed = [...update.read(HOSTS).values()].filter(
      host => host.zone === zone && !isAlive(host, update.now),
    );
    const names = [
      ...heard.map(host => host.name),
      ...rendezvousOrder(row.key, listed, host => host.name).map(
        host => host.name,
      ),
    ];
    return names[row.sends % Math.max(1, names.length)];
  }

  function markSent(update: Update, row: OpenCall, target: string) {
    const sends = row.sends + 1;
    const sendId = `${row.callId}#${sends}`;
    const sent: OpenCall = {
      ...row,
      sends,
      sentTo: target,
      unresolved: [...row.unresolved, sendId],
      wakeAt: update.now + PROGRESS_MILLIS,
    };
    return {sendId, row: sent};
  }

  /** Tries again after a random pause, unless the caller waits no longer. */
  function pause(update: Update, row: OpenCall, outcome: CallOutcome): void {
    const range = LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS;
    const wakeAt =
      update.now + SHORTEST_PAUSE_MILLIS + options.random() * range;
    const next = {...row, lastRefusal: outcome, sentTo: undefined, wakeAt};
    if (wakeAt >= row.deadline) {
      finish(update, next, outcome);
    } else {
      update.write(CALLS).set(row.callId, next);
    }
  }

  function onDecided(
    update: Update,
    {callId: sendId, outcome}: {callId: string; outcome: CallOutcome},
  ): void {
    const row = update.read(CALLS).get(sendId.split('#', 1)[0]);
    if (row === undefined || !row.unresolved.includes(sendId)) {
      update.emit(ANSWER_DROPPED, {sendId});
      return;
    }
    const unresolved = row.unresolved.filter(other => other !== sendId);
    const next = {...row, unresolved};
    if (outcome.outcome !== 'not-run') {
      finish(update, next, outcome);
    } else if (next.shardIds.length > 1 && mayMove(outcome.reason)) {
      advance(update, {...next, shardIds: next.shardIds.slice(1)});
    } else if (PASSING_REASONS.includes(outcome.reason)) {
      pause(update, {...next, shardIds: []}, outcome);
    } else {
      finish(update, next, outcome);
    }
  }

  function mayMove(reason: NotRunReason): boolean {
    return PLACE_REASONS.includes(reason);
  }

  function onNotSent(update: Update, {sendId}: {sendId: string}): void {
    const row = update.read(CALLS).get(sendId.split('#', 1)[0]);
    if (row === undefined) {
      return;
    }
    const reason = 'home-unreachable';
    const outcome = refusal(row, reason, `no way to ${row.sentTo ?? 'it'}`);
    onDecided(update, {callId: sendId, outcome});
  }

  function onTick(update: Update): void {
    for (const row of [...update.read(CALLS).values()]) {
      if (update.now >= row.deadline) {
        finish(update, row, row.lastRefusal ?? lateRefusal(row));
      } else if (update.now >= row.wakeAt) {
        advance(update, row);
      }
    }
  }

  function lateRefusal(row: OpenCall): CallOutcome {
    return refusal(row, 'deadline', 'nobody decided in time');
  }

  /** Says "not run" only when every send was answered so. */
  function finish(update: Update, row: OpenCall, outcome: CallOutcome): void {
    update.write(CALLS).delete(row.callId);
    const isProven = row.unresolved.length === 0;
    const detail = 'it was passed on, and no answer came in time';
    const told: CallOutcome =
      outcome.outcome === 'not-run' && !isProven
        ? {outcome: 'unknown', key: row.key, detail}
        : outcome;
    if (row.from === undefined) {
      update.emit(ANSWER_CALLER, {callId: row.callId, outcome: told});
    } else {
      const {peer, callId} = row.from;
      sendToPeer(update, peer, {type: 'call-outcome', callId, outcome: told});
    }
  }

  function onPeerMessage(
    update: Update,
    {from, message}: {from: string; message: PeerMessage},
  ): void {
    if (message.type === 'call-outcome') {
      const {callId, outcome} = message;
      onDecided(update, {callId, outcome});
    } else if (message.type === 'call') {
      onArrived(update, {
        callId: options.unique(),
        call: message.call,
        deadline: update.now + message.remainingMillis,
        hops: message.hops,
        from: {peer: from, callId: message.callId},
      });
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(CALLS),
      kernel.registerCommand(CALL_ARRIVED, onArrived),
      kernel.registerCommand(CALL_DECIDED, onDecided),
      kernel.registerCommand(CALL_NOT_SENT, onNotSent),
      kernel.registerCommand(CALL_TICK, onTick),
      kernel.registerCommand(PEER_MESSAGE, onPeerMessage),
    );
}

function refusal(
  row: OpenCall,
  reason: NotRunReason,
  detail: string,
): CallOutcome {
  return {outcome: 'not-run', key: row.key, reason, detail};
}
