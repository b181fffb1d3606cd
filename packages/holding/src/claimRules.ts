import type {HolderRecord} from './HolderRecord';
import type {HoldingState, Predecessor} from './HoldingState';

/**
 * Shortest silence of a holder that has not resigned after which a follower
 * claims the site.
 */
export const MIN_HOLDER_TIMEOUT_MILLIS = 500;
/**
 * Number of round trips to the log by which the wait for a silent holder is
 * extended: a slow log delays heartbeats.
 */
const HOLDER_TIMEOUT_ROUND_TRIPS = 4;
/**
 * Longest time since the last read of the journal at which a host may claim the
 * site: without recent reads it can't tell whether the holder is alive.
 */
const MAX_JOURNAL_READ_AGE_MILLIS = 1500;
/** Wait before a host claims a site whose journal has no holder record yet. */
const FIRST_CLAIM_DELAY_MILLIS = 100;

/** Options of the holding plug-in. */
export interface HoldingOptions {
  /** Name of this host. */
  readonly self: string;
  /** Distinguishes this process of the host from its earlier ones. */
  readonly incarnation: string;
  /** Moving average of the duration of a call to the log. */
  readonly roundTripMillis: () => number;
  /** Extra wait before a claim; shorter on hosts that are better suited. */
  readonly claimDelayMillis: () => number;
}

/** Whether this host should claim the site now. */
export function isClaimDue(
  options: HoldingOptions,
  holding: HoldingState,
  now: number,
): boolean {
  const {phase, latestHolderRecord, isCaughtUp, isStopping} = holding;
  if (phase !== 'following' || !isCaughtUp || isStopping) {
    return false;
  }
  if (holding.endOffset < holding.logEndOffset) {
    // In a backlog, the newest record read says nothing about the holder now.
    return false;
  }
  if (
    now - holding.readAt > MAX_JOURNAL_READ_AGE_MILLIS ||
    now < holding.nextClaimAt
  ) {
    return false;
  }
  if (latestHolderRecord?.holder === options.self) {
    // This host was the last holder, so there is no other holder to wait for.
    return true;
  }
  const silentMillis = now - holding.holderHeardAt;
  return (
    silentMillis >
    holderTimeoutMillis(options, latestHolderRecord) +
      options.claimDelayMillis()
  );
}

/** Returns how long the holder must be silent before its site is claimed. */
function holderTimeoutMillis(
  options: HoldingOptions,
  latestHolderRecord: HolderRecord | undefined,
): number {
  if (latestHolderRecord === undefined) {
    return FIRST_CLAIM_DELAY_MILLIS;
  }
  return latestHolderRecord.isResigned
    ? 0
    : MIN_HOLDER_TIMEOUT_MILLIS +
        options.roundTripMillis() * HOLDER_TIMEOUT_ROUND_TRIPS;
}

/**
 * Returns the term of a claim that is appended at `offset`. Terms start at 1,
 * since 0 means no term to workers.
 */
export function termOfClaim(offset: number): number {
  return offset + 1;
}

/** Returns the holding that a claim of this host would follow. */
export function predecessorOf(holding: HoldingState): Predecessor {
  const {latestHolderRecord, termBeganBefore, holderHeardAt} = holding;
  return {
    term: latestHolderRecord?.term,
    beganBefore: termBeganBefore,
    heardAt: holderHeardAt,
  };
}

/**
 * Creates the record of a claim that is appended at `offset`. What the reserve journal
 * has for the earlier holder, it has for this one, too.
 */
export function createClaim(
  {self, incarnation}: HoldingOptions,
  offset: number,
  reserveEnd: number | undefined,
): HolderRecord {
  const term = termOfClaim(offset);
  return {
    holder: self,
    incarnation,
    term,
    batch: 0,
    isResigned: false,
    reserveEnd,
  };
}
