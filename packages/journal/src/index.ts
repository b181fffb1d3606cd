/** Accepted work, kept by a second host and in the log, and its recovery. */
export {JOURNALS, RECOVERIES, type ShardJournal} from './JournalState';
export {
  appendIntervalMillis,
  createJournalPlugin,
  isAttainable,
  type JournalOptions,
} from './journalPlugin';
export {joinChanges, recordIdOf} from './mergeChange';
export {
  APPENDED,
  APPEND_BATCH,
  APPEND_FAILED,
  AWAIT_DURABLE,
  DURABLE,
  JOURNAL_READ,
  JOURNAL_TICK,
  JOURNAL_UNREADABLE,
  READ_JOURNAL,
  RECORD_CHANGES,
  RECORD_SET_ASIDE,
  SHARD_RECOVERED,
  journalBatchSchema,
  type JournalBatch,
} from './messages';
export {REPLICAS, type ReplicaReader} from './ShardReplica';
