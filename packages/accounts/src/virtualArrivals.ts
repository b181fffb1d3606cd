import {type Job, NO_ACCOUNT} from '@samphireramp/jobs';
import {type Update, createTableSlice} from '@samphireramp/kernel';
import {type ClientAccountsOf, accountsByName} from './accountsByName';

const MILLIS_PER_SECOND = 1000;
/** An account may send the jobs of this time at once without a delay. */
const BURST_MILLIS = 5000;
/**
 * An account may send this many jobs at once without a delay: with a small weight, jobs
 * that come at random exceed the rate again and again for a moment.
 */
const BURST_JOBS = 20;
/**
 * Jobs a second of an account with a weight of 0, or that the configuration
 * doesn't name.
 */
export const SMALLEST_WEIGHT = 0.001;
/**
 * Upper bound of the delay. It also bounds for how long a burst is held against
 * the jobs that the account sends later.
 */
export const MAX_DELAY_MILLIS = 3_600_000;
/**
 * Maximum spans kept for an account. An account over its rate has one; the others
 * are for jobs read out of order, since partitions are read one after another.
 */
export const MAX_SPANS = 32;
/** Maximum accounts kept: twice what a configuration may name. */
const MAX_ACCOUNTS = 20_000;

/** A time that the jobs of an account use up at its rate, in wall-clock milliseconds. */
interface Span {
  readonly start: number;
  readonly end: number;
}

/** The spans that each account has used up, the one used last at the end. */
export const USED_SPANS =
  createTableSlice<readonly Span[]>('account-used-spans');

/**
 * How much later than it was received a job counts as arrived: when an account that
 * sends at its weight in jobs a second would have sent it. Each job uses up the first
 * free time of its account from the burst allowance before its receipt on.
 *
 * Only differences between times of receipt count, so that jobs may be read late,
 * as by a new holder, and in any order. Times that a stepped clock puts elsewhere use
 * up a span of their own and don't delay the others.
 */
export function virtualDelayMillis(
  update: Update,
  {account, receivedAt}: Job,
  clientAccountsOf: ClientAccountsOf,
): number {
  if (account === NO_ACCOUNT || !Number.isFinite(receivedAt)) {
    return 0;
  }
  const accounts = clientAccountsOf(update);
  if (accounts === undefined) {
    // The weights aren't known before a configuration has been read.
    return 0;
  }
  const configured = accountsByName(accounts).get(account);
  const weight = Math.max(SMALLEST_WEIGHT, configured?.weight ?? 0);
  const table = update.write(USED_SPANS);
  const earliestAt = receivedAt - burstMillisOf(weight);
  const {usedAt, spans} = useTime(
    table.get(account) ?? [],
    earliestAt,
    MILLIS_PER_SECOND / weight,
  );
  if (!table.has(account) && table.size >= MAX_ACCOUNTS) {
    const [oldest] = table.keys();
    table.delete(oldest);
  }
  table.set(account, spans);
  return Math.min(MAX_DELAY_MILLIS, Math.max(0, usedAt - receivedAt));
}

/** How much of its time an account may use up in advance. */
export function burstMillisOf(weight: number): number {
  const byJobs = (BURST_JOBS * MILLIS_PER_SECOND) / weight;
  return Math.min(MAX_DELAY_MILLIS, Math.max(BURST_MILLIS, byJobs));
}

/** Uses up a time at the first moment from `earliestAt` on that is free. */
function useTime(
  spans: readonly Span[],
  earliestAt: number,
  millis: number,
): {usedAt: number; spans: readonly Span[]} {
  const current = spans.find(
    ({start, end}) => start <= earliestAt && earliestAt < end,
  );
  if (
    current !== undefined &&
    current.end - earliestAt > 2 * MAX_DELAY_MILLIS
  ) {
    return {usedAt: current.end, spans};
  }
  const usedAt = current?.end ?? earliestAt;
  const start = current?.start ?? earliestAt;
  const others = spans.filter(span => span !== current);
  const merged = mergeFollowing({start, end: usedAt + millis}, others);
  return {usedAt, spans: merged.slice(-MAX_SPANS)};
}

/** Appends a span; those that it runs into move behind it and become part of it. */
function mergeFollowing(span: Span, others: readonly Span[]): readonly Span[] {
  const {start, end} = span;
  const next = others.find(other => other.start >= start && other.start < end);
  return next === undefined
    ? [...others, span]
    : mergeFollowing(
        {start, end: end + next.end - next.start},
        others.filter(other => other !== next),
      );
}
