/** Election of the site's holder, and the journal that only it writes. */
export {type HolderRecord, holderRecordSchema} from './HolderRecord';
export {
  type DeferredCommand,
  HOLDING,
  type HoldingState,
  DURABLE_PROGRESS,
  dispatchWhenDurable,
  heldTerm,
  recordForgottenJob,
  recordProgress,
  recordRequestsRead,
} from './HoldingState';
export {dropJournalCopy} from './applyEntries';
export {
  DURABLE_LEASE_BOUNDS,
  type LeaseBound,
  inheritedLeasesEndAt,
  recordLeaseBound,
  recordLiftedLeaseBound,
} from './leaseBounds';
export {
  EMPTY_COPY,
  type StreamCopy,
  advanceCopy,
  isOutdatedSnapshot,
} from './streamCopy';
export {requestsAge} from './jobKnowledge';
export {MIN_HOLDER_TIMEOUT_MILLIS, type HoldingOptions} from './claimRules';
export {createHoldingPlugin} from './holdingPlugin';
export {HEARTBEAT_INTERVAL_MILLIS} from './journalAppends';
export {
  APPEND_JOURNAL,
  APPEND_RESERVE,
  FOLLOW_RESERVE,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_EVENT,
  HOLDING_FENCED,
  HOLDING_TICK,
  READ_JOURNAL_NOW,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  type HoldingEndReason,
  type JournalEntry,
  type JournalRead,
  type StoredEntry,
  PROGRESS_DURABLE,
  PROGRESS_TOO_LARGE,
  RESERVE_APPEND_ENDED,
  RESERVE_READ,
  RESERVE_READ_FAILED,
  type ReserveEntry,
  type ReserveRead,
  READ_RESERVE_NOW,
  RESIGN,
  UNFOLLOW_RESERVE,
} from './messages';
