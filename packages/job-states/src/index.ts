/** The states of jobs that every host knows, and who follows the journal. */
export {
  JOB_STATES,
  type KnownJob,
  STANDBYS,
  STATES_COPY,
  knowsJobsUntil,
} from './JobStates';
export {IS_JOURNAL_FOLLOWED} from './journalFollowing';
export {type JobStatesOptions, createJobStatesPlugin} from './jobStatesPlugin';
export {
  APPEND_STATES,
  FOLLOW_JOURNAL,
  READ_STATES_NOW,
  STANDBY_EVENT,
  STATES_APPEND_ENDED,
  STATES_READ,
  type StateEntry,
  type StatesRead,
  type StoredStateEntry,
  UNFOLLOW_JOURNAL,
} from './messages';
