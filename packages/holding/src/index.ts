/** Who holds the site, and the journal that only the holder writes. */
export {type HolderRecord, holderRecordSchema} from './HolderRecord';
export {
  type FollowUp,
  HOLDING,
  type Holding,
  JOB_VIEWS,
  afterCommit,
  heldTerm,
  recordForgotten,
  recordProgress,
} from './HoldingState';
export {HOLDER_SILENCE_MILLIS, type HoldingOptions} from './claimRules';
export {HEARTBEAT_MILLIS, createHoldingPlugin} from './holdingPlugin';
export {
  APPEND_JOURNAL,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_EVENT,
  HOLDING_FENCED,
  HOLDING_TICK,
  HURRY_JOURNAL,
  JOURNAL_APPENDED,
  JOURNAL_READ,
  type HoldingEnd,
  type JournalEntry,
  type PlacedEntry,
  RESIGN,
} from './messages';
