import {heldTerm, recordRequestsRead} from '@samphireramp/holding';
import {MAY_COMMAND_WORKERS} from '@samphireramp/fleet';
import {
  type PayloadOf,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {PARTITIONS_READ} from './DispatchState';
import type {REQUESTS_READ_FAILED} from './messages';
import {schedulePlacement} from './schedulePlacement';
import {reachTakeOverStep} from './takeOverSteps';
import {ARE_REQUESTS_INCOMPLETE, adoptRunsOfUnreadJobs} from './unreadJobs';

/**
 * When a new holder has read enough of the requests to command workers: each partition to
 * its end, but for those that have refused all reads for a while. One that does not answer
 * is waited for, as it may only be slow.
 */

/** How long a partition refuses all reads before a new holder begins without it. */
const OUT_OF_REACH_MILLIS = 1000;

/** Since when a partition has refused all reads, by its number. */
export const REFUSED_SINCE = createTableSlice<number>('requests-refused-since');

/**
 * Records that a partition was read, up to its end if `completeUntil` is given. Returns
 * whether all partitions are read to their ends now.
 */
export function onPartitionRead(
  update: Update,
  partition: number,
  completeUntil: number | undefined,
  partitions: number,
): boolean {
  update.write(REFUSED_SINCE).delete(String(partition));
  if (completeUntil === undefined) {
    return false;
  }
  const partitionsRead = update.write(PARTITIONS_READ);
  partitionsRead.set(String(partition), completeUntil);
  if (partitionsRead.size < partitions) {
    return false;
  }
  update.write(ARE_REQUESTS_INCOMPLETE).set(false);
  update.write(MAY_COMMAND_WORKERS).set(true);
  reachTakeOverStep(update, 'requests-read');
  recordRequestsRead(update, Math.min(...partitionsRead.values()));
  return true;
}

/** Records how a read of a partition failed. */
export function onRequestsReadFailed(
  update: Update,
  {partition, isRefused}: PayloadOf<typeof REQUESTS_READ_FAILED>,
): void {
  if (heldTerm(update) === undefined) {
    return;
  }
  const refusedSince = update.write(REFUSED_SINCE);
  const key = String(partition);
  if (!isRefused) {
    refusedSince.delete(key);
  } else if (!refusedSince.has(key)) {
    refusedSince.set(key, update.now);
  }
}

/** Has a new holder command workers if only partitions out of reach are not read. */
export function beginIfRestIsOutOfReach(
  update: Update,
  partitions: number,
  wallNow: number,
): void {
  if (
    heldTerm(update) === undefined ||
    update.read(MAY_COMMAND_WORKERS).get()
  ) {
    return;
  }
  for (let partition = 0; partition < partitions; partition++) {
    const key = String(partition);
    const refusedSince = update.read(REFUSED_SINCE).get(key) ?? Infinity;
    const isOutOfReach = update.now - refusedSince >= OUT_OF_REACH_MILLIS;
    if (!update.read(PARTITIONS_READ).has(key) && !isOutOfReach) {
      return;
    }
  }
  update.write(ARE_REQUESTS_INCOMPLETE).set(true);
  adoptRunsOfUnreadJobs(update, wallNow);
  update.write(MAY_COMMAND_WORKERS).set(true);
  reachTakeOverStep(update, 'requests-out-of-reach');
  schedulePlacement(update);
}
