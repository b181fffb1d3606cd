import type {StateReader, Update} from '@samphireramp/kernel';
import {
  HOSTS,
  type OwnIdentity,
  isAlive,
  preferredHosts,
  sendToPeer,
} from '@samphireramp/membership';
import type {Durability, PeerMessage} from '@samphireramp/model';
import {
  COPY_POSITIONS,
  DURABLE_WAITS,
  type DurableWait,
  JOURNALS,
  type ShardJournal,
} from './JournalState';
import {DURABLE} from './messages';
import {REPLICAS} from './ShardReplica';

/** A standby that does not acknowledge gets the changes again after this. */
const RESEND_MILLIS = 500;

/** The live host of the zone that should hold the second copy of a shard. */
export function standbyFor(
  state: StateReader,
  self: OwnIdentity,
  shardId: string,
  now: number,
): string | undefined {
  return preferredHosts(state, self.zone, shardId, now)
    .map(host => host.name)
    .find(name => name !== self.name);
}

/** Sends what the standby lacks; a new standby gets the whole shard. */
export function replicate(
  update: Update,
  self: OwnIdentity,
  before: ShardJournal,
): ShardJournal {
  const journal = chooseStandby(update, self, before);
  const {standby, recorded, shardId} = journal;
  if (standby === undefined || journal.unacknowledged.length === 0) {
    return journal;
  }
  const isLate = update.now >= journal.resendAt;
  const after = isLate ? journal.acknowledged : journal.sent;
  if (after >= recorded) {
    return journal;
  }
  sendToPeer(update, standby.name, {
    type: 'replicate',
    shardId,
    copyId: standby.copyId,
    after,
    upTo: recorded,
    changes: changesAfter(journal, after),
  });
  const resendAt =
    isLate || journal.sent === journal.acknowledged
      ? update.now + RESEND_MILLIS
      : journal.resendAt;
  return {...journal, sent: recorded, resendAt};
}

/** A run starts with the whole shard, however many changes that is. */
function changesAfter(journal: ShardJournal, after: number) {
  return after === 0
    ? journal.unacknowledged
    : journal.unacknowledged.slice(-(journal.recorded - after));
}

function chooseStandby(
  update: Update,
  self: OwnIdentity,
  journal: ShardJournal,
): ShardJournal {
  const {standby, shardId} = journal;
  if (standby !== undefined && isServing(update, standby)) {
    return journal;
  }
  const name = standbyFor(update, self, shardId, update.now);
  if (name === undefined) {
    return {...journal, standby: undefined, unacknowledged: []};
  }
  const incarnation = update.read(HOSTS).get(name)?.incarnation;
  const copyId = `${self.incarnation}/${incarnation}/${update.now}`;
  return {
    ...journal,
    standby: {name, incarnation, copyId},
    unacknowledged: update.read(REPLICAS).changesOf(shardId),
    acknowledged: 0,
    sent: 0,
    resendAt: update.now,
  };
}

/** Whether the standby still is the run of the host that has the copy. */
function isServing(
  update: Update,
  standby: NonNullable<ShardJournal['standby']>,
): boolean {
  const host = update.read(HOSTS).get(standby.name);
  return (
    host !== undefined &&
    isAlive(host, update.now) &&
    !host.leaving &&
    host.incarnation === standby.incarnation
  );
}

/** Keeps a copy for a holder and acknowledges it, unless a part is missing. */
export function keepCopy(
  update: Update,
  from: string,
  message: Extract<PeerMessage, {type: 'replicate'}>,
): void {
  const {shardId, copyId, after, upTo} = message;
  const positions = update.write(COPY_POSITIONS);
  const known = positions.get(shardId);
  const position = known?.copyId === copyId ? known.upTo : 0;
  if (after > position) {
    return;
  }
  const replicas = update.write(REPLICAS);
  message.changes.forEach(change => replicas.merge(change));
  const kept = Math.max(position, upTo);
  positions.set(shardId, {copyId, upTo: kept});
  sendToPeer(update, from, {type: 'replicated', shardId, copyId, upTo: kept});
}

/** Takes in an acknowledgement of the standby. */
export function learnAcknowledged(
  update: Update,
  message: Extract<PeerMessage, {type: 'replicated'}>,
): void {
  const journal = update.read(JOURNALS).get(message.shardId);
  if (journal?.standby?.copyId !== message.copyId) {
    return;
  }
  const upTo = Math.max(journal.acknowledged, message.upTo);
  const missing = journal.recorded - upTo;
  update.write(JOURNALS).set(journal.shardId, {
    ...journal,
    acknowledged: upTo,
    replicated: Math.max(journal.replicated, upTo),
    unacknowledged: missing > 0 ? journal.unacknowledged.slice(-missing) : [],
    resendAt: update.now + RESEND_MILLIS,
  });
  settleWaits(update, journal.shardId);
}

/** Tells those whose changes have become safe enough. */
export function settleWaits(update: Update, shardId: string): void {
  const journal = update.read(JOURNALS).get(shardId);
  if (journal === undefined) {
    return;
  }
  for (const wait of [...update.read(DURABLE_WAITS).values()]) {
    if (wait.shardId === shardId && isSafe(journal, wait)) {
      update.write(DURABLE_WAITS).delete(wait.ticket);
      update.dispatch(DURABLE, {ticket: wait.ticket});
    }
  }
}

function isSafe(journal: ShardJournal, wait: DurableWait): boolean {
  const safeUpTo: Readonly<Record<Durability, number>> = {
    memory: journal.recorded,
    'two-hosts': journal.replicated,
    store: journal.standby
      ? Math.min(journal.stored, journal.replicated)
      : journal.stored,
  };
  return safeUpTo[wait.durability] >= wait.upTo;
}
