import {
  type StateReader,
  type Update,
  createValueSlice,
} from '@samphireramp/kernel';
import {HOLDING, dropJournalCopy} from '@samphireramp/holding';
import {STANDBYS, STATES_COPY} from './JobStates';
import {FOLLOW_JOURNAL, STANDBY_EVENT, UNFOLLOW_JOURNAL} from './messages';

/**
 * Silence of the holder after which other hosts than the standbys follow the
 * journal too. The standbys have claimed the site by then, if one can.
 */
const STANDBY_TIMEOUT_MILLIS = 1500;

/**
 * Number of round trips to the log by which that silence is extended: a take-over
 * takes longer if the log is slow.
 */
const STANDBY_TIMEOUT_ROUND_TRIPS = 8;

/** Options that decide when a host follows the journal. */
export interface JournalFollowingOptions {
  /** Name of this host. */
  readonly self: string;
  /** Moving average of the duration of a call to the log. */
  readonly roundTripMillis: () => number;
  /**
   * Extra wait before a host that is no standby follows the journal. It differs
   * from host to host, so that not all of them read it at once.
   */
  readonly followDelayMillis: () => number;
}

/** Whether this host follows the journal. */
export const IS_JOURNAL_FOLLOWED = createValueSlice('journal-followed', false);

/** Begins or ends following the journal, as the holder and its silence require. */
export function adjustJournalFollowing(
  update: Update,
  options: JournalFollowingOptions,
): void {
  const isFollowed = update.write(IS_JOURNAL_FOLLOWED);
  const reason = reasonToFollow(update, options, update.now);
  if (isFollowed.get() === (reason !== undefined)) {
    return;
  }
  isFollowed.set(reason !== undefined);
  const {holderHeardAt} = update.read(STATES_COPY).get();
  update.emit(STANDBY_EVENT, {
    event: reason === undefined ? 'journal-unfollowed' : 'journal-followed',
    detail: reason ?? 'not-named',
    silentMillis: Math.round(update.now - holderHeardAt),
  });
  if (reason === undefined) {
    dropJournalCopy(update);
    update.emit(UNFOLLOW_JOURNAL, undefined);
  } else {
    update.emit(FOLLOW_JOURNAL, undefined);
  }
}

/** Why this host follows the journal; undefined if it need not. */
function reasonToFollow(
  state: StateReader,
  options: JournalFollowingOptions,
  now: number,
): string | undefined {
  const {isCaughtUp, latestHolderRecord, holderHeardAt} = state
    .read(STATES_COPY)
    .get();
  const standbys = state.read(STANDBYS).get();
  if (state.read(HOLDING).get().phase !== 'following') {
    return 'holding';
  }
  if (!isCaughtUp) {
    return undefined;
  }
  if (latestHolderRecord === undefined || standbys === undefined) {
    return 'none-named';
  }
  if (standbys.includes(options.self)) {
    return 'named';
  }
  const timeoutMillis =
    STANDBY_TIMEOUT_MILLIS +
    STANDBY_TIMEOUT_ROUND_TRIPS * options.roundTripMillis() +
    options.followDelayMillis();
  return now - holderHeardAt > timeoutMillis ? 'holder-silent' : undefined;
}
