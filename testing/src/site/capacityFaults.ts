import type {WorkerRecord} from '@samphireramp/fleet';
import type {Resources} from '@samphireramp/jobs';
import {decodeWorkerEntry} from '@samphireramp/platform';
import {MAX_ENTRY_DELAY_MILLIS, shareOf} from './ModelCapacity';
import {snapshotOf} from './ModelLog';
import type {ModelSite} from './ModelSite';
import type {ModelWorker} from './ModelWorker';

/** Bounds of the time for which a worker has a smaller capacity. */
const MIN_SHRUNKEN_MILLIS = 1000;
const MAX_SHRUNKEN_MILLIS = 9000;

/** Draws numbers and times for the faults of a schedule. */
export interface FaultDraws {
  readonly random: () => number;
  /** Draws a whole number between two bounds, both included. */
  between(least: number, most: number): number;
  /** Schedules a number of calls at random times of the fault phase. */
  repeatAtRandomTimes(times: number, callback: () => void): void;
}

/**
 * Changes the capacity of a worker. Its entry in the worker registry shows the
 * change after a delay, if the worker is up and has an entry by then.
 */
export function changeCapacity(
  site: ModelSite,
  worker: ModelWorker,
  capacity: Resources,
  entryDelayMillis = 0,
): void {
  worker.capacity.change(capacity);
  site.clock.after(entryDelayMillis, () => {
    const entry = newestEntry(site, worker);
    if (worker.isUp && entry !== undefined) {
      site.writeRegistryEntry(worker, entry.isDraining);
    }
  });
}

function newestEntry(
  site: ModelSite,
  worker: ModelWorker,
): WorkerRecord | undefined {
  const record = snapshotOf(site.log.records('workers', 0)).find(
    ({key}) => key === worker.id,
  );
  return record && decodeWorkerEntry(worker.id, record.value);
}

/** Lets random workers shrink to a random share, and grow again later. */
export function scheduleCapacityChanges(
  site: ModelSite,
  times: number,
  fullCapacity: Resources,
  {random, between, repeatAtRandomTimes}: FaultDraws,
): void {
  repeatAtRandomTimes(times, () => {
    const worker = site.workers[between(0, site.workers.length - 1)];
    const change = (capacity: Resources) =>
      changeCapacity(
        site,
        worker,
        capacity,
        between(0, MAX_ENTRY_DELAY_MILLIS),
      );
    change(shareOf(fullCapacity, random() * 0.9));
    site.clock.after(between(MIN_SHRUNKEN_MILLIS, MAX_SHRUNKEN_MILLIS), () =>
      change(fullCapacity),
    );
  });
}
