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
/** A host that is up for less may not have got its copies again. */
const REPLACED_MILLIS = 10_000;

/** Who recovers, and since when it is up. */
export interface Recoverer {
  readonly self: OwnIdentity;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/** Asks the hosts of the zone and the log for a shard's accepted work. */
export function beginRecovery(
  update: Update,
  {self, startedAt}: Recoverer,
  shardId: string,
  recoveryId: string,
): void {
  const recovery: Recovery = {
    shardId,
    recoveryId,
    awaitedPeers: zonePeers(update, self),
    replacedHosts: isReplaced(update.now - startedAt) ? 1 : 0,
    awaitsLog: true,
    isCompleteTold: false,
    isServing: false,
    serveAt: update.now + SERVE_AFTER_MILLIS,
    askAt: update.now + ASK_AGAIN_MILLIS,
  };
  update.write(RECOVERIES).set(shardId, recovery);
  ask(update, recovery);
}

function isReplaced(upMillis: number): boolean {
  return upMillis < REPLACED_MILLIS;
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
  if (recovery.awaitsLog) {
    update.emit(READ_JOURNAL, {shardId, recoveryId, from: 0});
  }
}

/** Answers a peer that takes over a shard with all that is known of it. */
export function answerRecover(
  update: Update,
  {startedAt}: Recoverer,
  from: string,
  message: Extract<PeerMessage, {type: 'recover'}>,
): void {
  const {shardId, recoveryId} = message;
  sendToPeer(update, from, {
    type: 'recovered',
    shardId,
    recoveryId,
    upMillis: update.now - startedAt,
    changes: update.read(REPLICAS).changesOf(shardId),
  });
}

/** Takes in what a peer knows. */
export function learnFromPeer(
  update: Update,
  from: string,
  message: Extract<PeerMessage, {type: 'recovered'}>,
): void {
  const recovery = update.read(RECOVERIES).get(message.shardId);
  const isAwaited = recovery?.awaitedPeers.includes(from);
  if (recovery?.recoveryId !== message.recoveryId || !isAwaited) {
    return;
  }
  const replicas = update.write(REPLICAS);
  message.changes.forEach(change => replicas.merge(change));
  const awaitedPeers = recovery.awaitedPeers.filter(name => name !== from);
  const replacedHosts =
    recovery.replacedHosts + (isReplaced(message.upMillis) ? 1 : 0);
  tell(update, {...recovery, awaitedPeers, replacedHosts});
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
    tell(update, {...recovery, awaitsLog: false});
  } else {
    update.emit(READ_JOURNAL, {shardId, recoveryId, from: page.next});
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

/** Tells more once it is time to serve, or once all is known. */
function continueRecovery(update: Update, recovery: Recovery): void {
  const isDue = !recovery.isServing && update.now >= recovery.serveAt;
  const isNewlyComplete =
    !recovery.isCompleteTold && isAllKnown(update, recovery);
  if (isDue || isNewlyComplete) {
    tell(update, recovery);
  } else {
    update.write(RECOVERIES).set(recovery.shardId, recovery);
  }
}

/**
 * What was accepted is with two hosts, or with one and the log. So it is all
 * known once no more than one host has not told or has lost its copy; or,
 * with the log read, once no more than one has not told.
 */
function isAllKnown(state: StateReader, recovery: Recovery): boolean {
  const silent = recovery.awaitedPeers.length;
  const missing = recovery.awaitsLog ? silent + recovery.replacedHosts : silent;
  return missing <= 1 && knowsZone(state);
}

/** Tells what is known, unless it is too early to serve with less than all. */
function tell(update: Update, recovery: Recovery): void {
  const {shardId, awaitsLog, awaitedPeers} = recovery;
  const isComplete = recovery.isCompleteTold || isAllKnown(update, recovery);
  const isServing =
    recovery.isServing || isComplete || update.now >= recovery.serveAt;
  if (awaitedPeers.length === 0 && !awaitsLog) {
    update.write(RECOVERIES).delete(shardId);
  } else {
    update.write(RECOVERIES).set(shardId, {
      ...recovery,
      isServing,
      isCompleteTold: isComplete,
    });
  }
  if (isServing) {
    const changes = update.read(REPLICAS).changesOf(shardId);
    const isLogRead = !awaitsLog;
    update.dispatch(SHARD_RECOVERED, {shardId, changes, isComplete, isLogRead});
  }
}
