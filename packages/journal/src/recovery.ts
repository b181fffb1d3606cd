import {type Update} from '@samphireramp/kernel';
import {
  type OwnIdentity,
  liveHosts,
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

/** Longest wait for peers and for the log. */
const RECOVERY_MILLIS = 1200;

/** Asks the live peers of the zone and the log for a shard's accepted work. */
export function beginRecovery(
  update: Update,
  self: OwnIdentity,
  shardId: string,
  recoveryId: string,
): void {
  const peers = liveHosts(update, self.zone, update.now)
    .map(host => host.name)
    .filter(name => name !== self.name);
  update.write(RECOVERIES).set(shardId, {
    shardId,
    recoveryId,
    awaitedPeers: peers,
    awaitsLog: true,
    giveUpAt: update.now + RECOVERY_MILLIS,
  });
  for (const peer of peers) {
    sendToPeer(update, peer, {type: 'recover', shardId, recoveryId});
  }
  update.emit(READ_JOURNAL, {shardId, recoveryId, from: 0});
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

/** Ends the recoveries that have waited long enough. */
export function tickRecoveries(update: Update): void {
  for (const recovery of [...update.read(RECOVERIES).values()]) {
    if (update.now >= recovery.giveUpAt) {
      finish(update, recovery);
    }
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
  if (recovery.awaitedPeers.length === 0 && !recovery.awaitsLog) {
    finish(update, recovery);
  } else {
    update.write(RECOVERIES).set(recovery.shardId, recovery);
  }
}

function finish(update: Update, {shardId}: Recovery): void {
  update.write(RECOVERIES).delete(shardId);
  const changes = update.read(REPLICAS).changesOf(shardId);
  update.dispatch(SHARD_RECOVERED, {shardId, changes});
}
