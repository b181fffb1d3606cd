import {
  type PayloadOf,
  type Update,
  createValueSlice,
} from '@samphireramp/kernel';
import {HOLDING, heldTerm} from '@samphireramp/holding';
import {MAY_COMMAND_WORKERS, RUNS, WORKERS, changeWorker} from './FleetState';
import {
  BOUNDED_LEASES,
  type LEASE_BOUND_LIFTED,
  boundLeases,
  isLeaseBounded,
  leasesEndAt,
  liftBound,
} from './leaseBounds';
import {mayOrderArriveLate} from './unsettledOrders';
import type {Worker} from './Worker';
import {pollAgainIfDue} from './workerPolling';
import {discardRun} from './workerRemoval';

/**
 * Silence after which the leases of a worker are bounded: longer than a poll and
 * its repetition take, so that a lost answer alone bounds none.
 */
const SILENCE_MILLIS = 2200;
/** The same for a worker that has not answered this holder yet. */
const FIRST_ANSWER_MILLIS = 1000;
/** Interval of the searches for runs on workers that are not listed. */
const UNLISTED_CHECK_INTERVAL_MILLIS = 1000;

/** When runs on workers that are not listed were last searched for. */
export const UNLISTED_CHECKED_AT = createValueSlice('unlisted-checked-at', 0);

/**
 * Keeps the bounds on the leases of lost workers: bounds those of workers with runs
 * that don't answer, and lifts the bounds that are not needed any more.
 */
export function maintainLeaseBounds(update: Update): void {
  // Before that, the runs of earlier holders are not known.
  if (!update.read(MAY_COMMAND_WORKERS).get()) {
    return;
  }
  for (const incarnation of [...update.read(BOUNDED_LEASES).keys()]) {
    settleBound(update, incarnation);
  }
  boundSilentWorkers(update);
  boundUnlistedWorkers(update);
}

/** Discards the runs of an unlisted worker in time, and lifts a needless bound. */
function settleBound(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  const runs = update.read(RUNS).withKey(incarnation);
  if (runs.length === 0) {
    liftBound(update, incarnation, 'no-runs');
  } else if (
    worker === undefined &&
    update.now >= leasesEndAt(update, incarnation, undefined)
  ) {
    runs.forEach(run => discardRun(update, run, 'lapsed-silent'));
  }
}

function boundSilentWorkers(update: Update): void {
  for (const worker of update.read(WORKERS).values()) {
    const {incarnation} = worker;
    if (
      isLost(worker, update.now) &&
      !isLeaseBounded(update, incarnation) &&
      hasSettledRuns(update, incarnation)
    ) {
      boundLeases(update, incarnation, worker);
    }
  }
}

function isLost(worker: Worker, now: number): boolean {
  const {isSilent, isGone, hasReported, answeredAt} = worker;
  const silenceMillis = hasReported ? SILENCE_MILLIS : FIRST_ANSWER_MILLIS;
  return isSilent && !isGone && now - answeredAt >= silenceMillis;
}

/**
 * Whether a worker has runs, and no order for them can be carried out late by its
 * next incarnation. The next holder doesn't know of such orders.
 */
function hasSettledRuns(update: Update, incarnation: string): boolean {
  const runs = update.read(RUNS).withKey(incarnation);
  return (
    runs.length > 0 &&
    !runs.some(({runId}) => mayOrderArriveLate(update, runId, update.now))
  );
}

/** Bounds the leases of workers that an earlier holder knew and this one doesn't. */
function boundUnlistedWorkers(update: Update): void {
  const workers = update.read(WORKERS);
  const checkedAt = update.write(UNLISTED_CHECKED_AT);
  const {holdingBeganAt} = update.read(HOLDING).get();
  if (
    workers.size === 0 ||
    update.now - holdingBeganAt < FIRST_ANSWER_MILLIS ||
    update.now - checkedAt.get() < UNLISTED_CHECK_INTERVAL_MILLIS
  ) {
    return;
  }
  checkedAt.set(update.now);
  for (const {incarnation} of update.read(RUNS).values()) {
    if (!workers.has(incarnation) && !isLeaseBounded(update, incarnation)) {
      boundLeases(update, incarnation, undefined);
    }
  }
}

/** Polls an incarnation that may be granted leases again. */
export function onLeaseBoundLifted(
  update: Update,
  {incarnation}: PayloadOf<typeof LEASE_BOUND_LIFTED>,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  update.write(BOUNDED_LEASES).delete(incarnation);
  changeWorker(update, incarnation, {nextPollAt: 0});
  pollAgainIfDue(update, incarnation);
}
