import type {StateReader, Update} from '@samphireramp/kernel';
import {
  HOSTS,
  type OwnIdentity,
  knowsZone,
  sendToPeer,
} from '@samphireramp/membership';
import type {LogPage, PeerMessage} from '@samphireramp/model';
import {RECOVERIES, type Recovery} from './JournalState';
import {
  READ_JOURNAL,
  RECORD_SET_ASIDE,
  SHARD_RECOVERED,
  journalBatchSchema,
} from './messages';
import {REPLICAS} from './ShardReplica';

/** The shard serves after this, though not all was heard. */
const SERVE_AFTER_MILLIS = 1200;
const ASK_AGAIN_MILLIS = 1000;

/** Asks the hosts of the zone and the log for a shard's accepted work. */
export function beginRecovery(
  update: Update,
  self: OwnIdentity,
  shardId: string,
  recoveryId: string,
): void {
  const recovery: Recovery = {
    shardId,
    recoveryId,
    awaitedPeers: zonePeers(update, self),
    awaitsLog: true,
    isServing: false,
    serveAt: update.now + SERVE_AFTER_MILLIS,
    askAt: update.now + ASK_AGAIN_MILLIS,
  };
  update.write(RECOVERIES).set(shardId, recovery);
  ask(update, recovery);
  update.emit(READ_JOURNAL, {shardId, recoveryId, from: 0});
}

/** Every other host of the zone that is listed, heard or not. */
function zonePeers(state: StateReader, self: OwnIdentity): string[] {
  return [...state.read(HOSTS).values()]
    .filter(host => host.zone === self.zone && host.name !== self.name)
    .map(host => host.name);
}

function ask(update: Update, recovery: Recovery): void {
  const {shardId, recoveryId} = recovery;
  for (const peer of recovery.awaitedPeers) {
    sendToPeer(update, peer, {type: 'recover', shardId, recoveryId});
  }
}

/** Answers a peer that takes over a shard with all that is known of it. */
export function answerRecover(
  update: Update,
  from: string,
  message: Extract<PeerMessage, {type: 'recover'}>,
): void {
  const {shardId, recoveryId} = message;
  const changes = update.read(REPLICAS).changesOf(shardId);
  sendToPeer(update, from, {type: 'recovered', shardId, recoveryId, changes});
}

/** Takes in what a peer knows. */
export function learnFromPeer(
  update: Update,
  from: string,
  message: Extract<PeerMessage, {type: 'recovered'}>,
): void {
  const recovery = update.read(RECOVERIES).get(message.shardId);
  if (recovery?.recoveryId !== message.recoveryId) {
    return;
  }
  const replicas = update.write(REPLICAS);
  message.changes.forEach(change => replicas.merge(change));
  const awaitedPeers = recovery.awaitedPeers.filter(name => name !== from);
  continueRecovery(update, {...recovery, awaitedPeers});
}

/** Takes in a page of the journal and asks for the next. */
export function learnFromLog(
  update: Update,
  shardId: string,
  recoveryId: string,
  page: LogPage,
): void {
  const recovery = update.read(RECOVERIES).get(shardId);
  if (recovery?.recoveryId !== recoveryId) {
    return;
  }
  for (const record of page.records) {
    mergeRecord(update, shardId, record);
  }
  if (page.records.length === 0) {
    continueRecovery(update, {...recovery, awaitsLog: false});
  } else {
    update.emit(READ_JOURNAL, {shardId, recoveryId, from: page.next});
  }
}

/** Goes on without the log. */
export function giveUpLog(
  update: Update,
  shardId: string,
  recoveryId: string,
): void {
  const recovery = update.read(RECOVERIES).get(shardId);
  if (recovery?.recoveryId === recoveryId) {
    continueRecovery(update, {...recovery, awaitsLog: false});
  }
}

/** Asks again, and lets shards serve that have waited long enough. */
export function tickRecoveries(update: Update, self: OwnIdentity): void {
  const listed = new Set(zonePeers(update, self));
  for (const row of [...update.read(RECOVERIES).values()]) {
    // A host that the platform no longer lists has no copy left to tell.
    const awaitedPeers = row.awaitedPeers.filter(name => listed.has(name));
    const isAskDue = update.now >= row.askAt;
    const askAt = isAskDue ? update.now + ASK_AGAIN_MILLIS : row.askAt;
    const recovery = {...row, awaitedPeers, askAt};
    if (isAskDue) {
      ask(update, recovery);
    }
    continueRecovery(update, recovery);
  }
}

function mergeRecord(
  update: Update,
  shardId: string,
  record: LogPage['records'][number],
): void {
  const parsed = journalBatchSchema.safeParse(record.body);
  if (!parsed.success) {
    const detail = parsed.error.issues[0]?.message ?? 'unreadable';
    update.emit(RECORD_SET_ASIDE, {shardId, offset: record.offset, detail});
    return;
  }
  const replicas = update.write(REPLICAS);
  parsed.data.changes.forEach(change => replicas.merge(change));
}

function continueRecovery(update: Update, recovery: Recovery): void {
  const isComplete = isAllKnown(update, recovery);
  const isDue = !recovery.isServing && update.now >= recovery.serveAt;
  if (isComplete) {
    update.write(RECOVERIES).delete(recovery.shardId);
    tell(update, recovery.shardId, true);
    return;
  }
  const isServing = recovery.isServing || isDue;
  update.write(RECOVERIES).set(recovery.shardId, {...recovery, isServing});
  if (isDue) {
    tell(update, recovery.shardId, false);
  }
}

/**
 * What was accepted is with two hosts, or with one and the log. So it is all
 * known once every host told, or the log and all hosts but one.
 */
function isAllKnown(state: StateReader, recovery: Recovery): boolean {
  const silent = recovery.awaitedPeers.length;
  const isEnough = recovery.awaitsLog ? silent === 0 : silent <= 1;
  return isEnough && knowsZone(state);
}

function tell(update: Update, shardId: string, isComplete: boolean): void {
  const changes = update.read(REPLICAS).changesOf(shardId);
  update.dispatch(SHARD_RECOVERED, {shardId, changes, isComplete});
}
