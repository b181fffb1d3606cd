import {
  type Plugin,
  type StateReader,
  type Update,
  mergeUnregister,
} from '@samphireramp/kernel';
import {HOSTS, type OwnIdentity, PEER_MESSAGE} from '@samphireramp/membership';
import {
  type Durability,
  type PeerMessage,
  type WorkChange,
  shardOfChange,
} from '@samphireramp/model';
import {SHARD_HELD, SHARD_LOST} from '@samphireramp/ownership';
import {
  COPY_POSITIONS,
  DURABLE_WAITS,
  JOURNALS,
  RECOVERIES,
  type ShardJournal,
} from './JournalState';
import {
  APPENDED,
  APPEND_BATCH,
  APPEND_FAILED,
  AWAIT_DURABLE,
  JOURNAL_READ,
  JOURNAL_TICK,
  JOURNAL_UNREADABLE,
  RECORD_CHANGES,
  SHARD_RECOVERED,
} from './messages';
import {
  answerRecover,
  beginRecovery,
  learnFromLog,
  learnFromPeer,
  tickRecoveries,
} from './recovery';
import {
  keepCopy,
  learnAcknowledged,
  replicate,
  settleWaits,
  standbyFor,
} from './replication';
import {REPLICAS} from './ShardReplica';

/** Appends that all hosts of the site together may make in a second. */
const APPENDS_EACH_SECOND = 100;
const SHORTEST_APPEND_MILLIS = 250;
const RETRY_APPEND_MILLIS = 2000;

/** Changes that wait for the log before they are kept as a snapshot only. */
const LONGEST_PENDING = 5000;

/** What the journal plug-in is given. */
export interface JournalOptions {
  readonly self: OwnIdentity;
  /** How long the log keeps records. */
  readonly retentionMillis: number;
  /** Monotonic milliseconds at which this run began. */
  readonly startedAt: number;
}

/** Time between two appends of one shard, so that the store can bear all. */
export function appendIntervalMillis(hostCount: number): number {
  const even = (hostCount * 1000) / APPENDS_EACH_SECOND;
  return Math.max(SHORTEST_APPEND_MILLIS, even);
}

/** Whether work could be kept as safely as declared, as things are. */
export function isAttainable(
  state: StateReader,
  self: OwnIdentity,
  shardId: string,
  durability: Durability,
  now: number,
): boolean {
  const journal = state.read(JOURNALS).get(shardId);
  const isLogUp = journal !== undefined && !journal.isWaiting;
  switch (durability) {
    case 'memory':
      return true;
    case 'two-hosts':
      return standbyFor(state, self, shardId, now) !== undefined;
    case 'store':
      return isLogUp;
    default:
      return durability satisfies never;
  }
}

/** Keeps accepted work with a second host of the zone and in the log. */
export function createJournalPlugin(options: JournalOptions): Plugin {
  const {self} = options;
  const snapshotMillis = options.retentionMillis / 4;
  const recoverer = {self, startedAt: options.startedAt};

  function onHeld(
    update: Update,
    {shardId, term}: {shardId: string; term: number},
  ): void {
    update.write(JOURNALS).set(shardId, newJournal(shardId));
    beginRecovery(update, recoverer, shardId, `${self.incarnation}/${term}`);
  }

  function onLost(update: Update, {shardId}: {shardId: string}): void {
    update.write(JOURNALS).delete(shardId);
    update.write(RECOVERIES).delete(shardId);
    for (const wait of [...update.read(DURABLE_WAITS).values()]) {
      if (wait.shardId === shardId) {
        update.write(DURABLE_WAITS).delete(wait.ticket);
      }
    }
  }

  function onRecovered(update: Update, {shardId}: {shardId: string}): void {
    const journal = update.read(JOURNALS).get(shardId);
    if (journal !== undefined) {
      const next = {...journal, snapshotAt: update.now};
      update.write(JOURNALS).set(shardId, replicate(update, self, next));
    }
  }

  function onRecord(update: Update, changes: readonly WorkChange[]): void {
    const shardIds = new Set(changes.map(shardOfChange));
    const replicas = update.write(REPLICAS);
    changes.forEach(change => replicas.merge(change));
    for (const shardId of shardIds) {
      const journal = update.read(JOURNALS).get(shardId);
      if (journal !== undefined) {
        const own = changes.filter(item => shardOfChange(item) === shardId);
        const next = addChanges(update, journal, own);
        update.write(JOURNALS).set(shardId, replicate(update, self, next));
      }
    }
  }

  function addChanges(
    update: Update,
    journal: ShardJournal,
    changes: readonly WorkChange[],
  ): ShardJournal {
    const unacknowledged =
      journal.standby === undefined
        ? []
        : [...journal.unacknowledged, ...changes];
    const pending = [...journal.pending, ...changes];
    // Past the bound a snapshot takes the place of the single changes.
    const isLong = pending.length > LONGEST_PENDING;
    return {
      ...journal,
      pending: isLong ? [] : pending,
      snapshotAt: isLong ? update.now : journal.snapshotAt,
      unacknowledged,
      recorded: journal.recorded + changes.length,
    };
  }

  function onAwait(
    update: Update,
    wait: {ticket: string; shardId: string; durability: Durability},
  ): void {
    const upTo = update.read(JOURNALS).get(wait.shardId)?.recorded ?? 0;
    update.write(DURABLE_WAITS).set(wait.ticket, {...wait, upTo});
    settleWaits(update, wait.shardId);
  }

  function onTick(update: Update): void {
    tickRecoveries(update, self);
    for (const journal of [...update.read(JOURNALS).values()]) {
      const replicated = replicate(update, self, journal);
      const next = appendIfDue(update, replicated);
      if (next !== journal) {
        update.write(JOURNALS).set(journal.shardId, next);
      }
    }
  }

  function appendIfDue(update: Update, journal: ShardJournal): ShardJournal {
    if (update.now < journal.appendAt) {
      return journal;
    }
    if (journal.appending !== undefined) {
      return journal.isWaiting ? append(update, journal) : journal;
    }
    if (update.now >= journal.snapshotAt) {
      return append(update, withSnapshot(update, journal));
    }
    return journal.pending.length === 0
      ? journal
      : append(update, withBatch(journal));
  }

  function withBatch(journal: ShardJournal): ShardJournal {
    return {
      ...journal,
      appending: journal.pending,
      appendingSnapshot: false,
      pending: [],
      sequence: journal.sequence + 1,
      batched: journal.recorded,
    };
  }

  function withSnapshot(update: Update, journal: ShardJournal): ShardJournal {
    return {
      ...withBatch(journal),
      appending: update.read(REPLICAS).changesOf(journal.shardId),
      appendingSnapshot: true,
      snapshotAt: update.now + snapshotMillis,
    };
  }

  function append(update: Update, journal: ShardJournal): ShardJournal {
    const {shardId, sequence, appendingSnapshot, appending} = journal;
    const batch = {
      writer: self.incarnation,
      sequence,
      snapshot: appendingSnapshot,
      changes: appending ?? [],
    };
    update.emit(APPEND_BATCH, {shardId, batch});
    const interval = appendIntervalMillis(update.read(HOSTS).size);
    return {...journal, isWaiting: false, appendAt: update.now + interval};
  }

  function onAppended(
    update: Update,
    {shardId, sequence}: {shardId: string; sequence: number},
  ): void {
    const journal = update.read(JOURNALS).get(shardId);
    if (journal === undefined || journal.sequence !== sequence) {
      return;
    }
    update.write(JOURNALS).set(shardId, {
      ...journal,
      appending: undefined,
      isWaiting: false,
      stored: journal.batched,
    });
    settleWaits(update, shardId);
  }

  function onAppendFailed(update: Update, {shardId}: {shardId: string}): void {
    const journal = update.read(JOURNALS).get(shardId);
    if (journal?.appending !== undefined) {
      update.write(JOURNALS).set(shardId, {
        ...journal,
        isWaiting: true,
        appendAt: update.now + RETRY_APPEND_MILLIS,
      });
    }
  }

  function onPeerMessage(
    update: Update,
    {from, message}: {from: string; message: PeerMessage},
  ): void {
    switch (message.type) {
      case 'replicate':
        keepCopy(update, from, message);
        break;
      case 'replicated':
        learnAcknowledged(update, message);
        break;
      case 'recover':
        answerRecover(update, recoverer, from, message);
        break;
      case 'recovered':
        learnFromPeer(update, from, message);
        break;
      case 'heartbeat':
      case 'revision-wanted':
      case 'revision':
      case 'call':
      case 'call-outcome':
        break;
      default:
        message satisfies never;
    }
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(REPLICAS),
      kernel.registerSlice(JOURNALS),
      kernel.registerSlice(DURABLE_WAITS),
      kernel.registerSlice(RECOVERIES),
      kernel.registerSlice(COPY_POSITIONS),
      kernel.registerCommand(SHARD_HELD, onHeld),
      kernel.registerCommand(SHARD_LOST, onLost),
      kernel.registerCommand(SHARD_RECOVERED, onRecovered),
      kernel.registerCommand(RECORD_CHANGES, onRecord),
      kernel.registerCommand(AWAIT_DURABLE, onAwait),
      kernel.registerCommand(JOURNAL_TICK, onTick),
      kernel.registerCommand(APPENDED, onAppended),
      kernel.registerCommand(APPEND_FAILED, onAppendFailed),
      kernel.registerCommand(JOURNAL_READ, (update, read) =>
        learnFromLog(update, read.shardId, read.recoveryId, read.page),
      ),
      // The log is asked again with the peers.
      kernel.registerCommand(JOURNAL_UNREADABLE, () => {}),
      kernel.registerCommand(PEER_MESSAGE, onPeerMessage),
    );
}

function newJournal(shardId: string): ShardJournal {
  return {
    shardId,
    pending: [],
    appendingSnapshot: false,
    sequence: 0,
    appendAt: -Infinity,
    isWaiting: false,
    snapshotAt: Infinity,
    recorded: 0,
    batched: 0,
    stored: 0,
    replicated: 0,
    unacknowledged: [],
    acknowledged: 0,
    sent: 0,
    resendAt: -Infinity,
  };
}
