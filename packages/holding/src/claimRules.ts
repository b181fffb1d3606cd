import type {HolderRecord} from './HolderRecord';
import type {HoldingState} from './HoldingState';

/** A holder that is silent for longer may be replaced ... */
export const HOLDER_SILENCE_MILLIS = 500;
/** ... and for each millisecond of the way to the log, this much later. */
const SILENCE_MILLIS_PER_TRIP = 4;
/** A journal that was not read for this long says nothing about its holder. */
const READ_FRESH_MILLIS = 1500;
/** Without any claim in the journal, how long to wait before the first. */
const FIRST_CLAIM_MILLIS = 100;

/** What the holding plug-in is given. */
export interface HoldingOptions {
  readonly self: string;
  readonly incarnation: string;
  /** Running mean of how long a call to the log takes. */
  readonly roundTripMillis: () => number;
  /** Extra wait before a claim: hosts that suit better wait less. */
  readonly claimDelayMillis: () => number;
}

/** Whether this host should claim the site now. */
export function isClaimDue(
  options: HoldingOptions,
  holding: HoldingState,
  now: number,
): boolean {
  const {phase, latest, isCaughtUp, isStopping} = holding;
  if (phase !== 'following' || !isCaughtUp || isStopping) {
    return false;
  }
  if (
    now - holding.journalReadAt > READ_FRESH_MILLIS ||
    now < holding.nextClaimAt
  ) {
    return false;
  }
  if (latest?.holder === options.self) {
    // An earlier life of this host held the site, and surely does no more.
    return true;
  }
  const silence = now - holding.holderHeardAt;
  return silence > patience(options, latest) + options.claimDelayMillis();
}

function patience(
  options: HoldingOptions,
  latest: HolderRecord | undefined,
): number {
  if (latest === undefined) {
    return FIRST_CLAIM_MILLIS;
  }
  return latest.isResigned
    ? 0
    : HOLDER_SILENCE_MILLIS +
        options.roundTripMillis() * SILENCE_MILLIS_PER_TRIP;
}

/** Workers take 0 for no term at all, so terms begin at 1. */
export function termOfClaim(offset: number): number {
  return offset + 1;
}
