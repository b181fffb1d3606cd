import {createRandom} from '../seededRandom';
import type {ModelSite} from './ModelSite';
import type {ModelWorker} from './ModelWorker';

/** Time from before a restart in which calls to the worker may be late. */
const LATE_BEFORE_MILLIS = 1500;
/** How long calls to a worker may be late after it is back. */
const LATE_AFTER_MILLIS = 500;
const MAX_DOWN_MILLIS = 1500;
/** Latest time after a worker is back at which its entry is written. */
const MAX_ENTRY_DELAY_MILLIS = 800;
/** Latest time after a worker is back at which it is cut off. */
const MAX_CUT_DELAY_MILLIS = 4000;
const MIN_CUT_MILLIS = 5000;
const MAX_CUT_MILLIS = 15_000;
/** Latest time after it was sent at which a late call is carried out. */
const MAX_CALL_DELAY_MILLIS = 11_500;
/** Shares of the calls in the time around a restart whose answers are lost. */
const LOST_ORDER_SHARE = 0.4;
const LOST_POLL_SHARE = 0.4;
/** Share of the restarts in which calls are kept until the worker is back. */
const KEPT_CALLS_SHARE = 0.6;

/** Bounds how long the faults of a restart last after the worker has ended. */
export const MAX_RESTART_FAULT_MILLIS =
  LATE_BEFORE_MILLIS + MAX_DOWN_MILLIS + MAX_CUT_DELAY_MILLIS + MAX_CUT_MILLIS;

/** Counts the faults of one kind in force, by worker id. */
class FaultCounts {
  private readonly counts = new Map<string, number>();

  has(worker: string): boolean {
    return (this.counts.get(worker) ?? 0) > 0;
  }

  change(worker: string, by: 1 | -1): void {
    this.counts.set(worker, (this.counts.get(worker) ?? 0) + by);
  }
}

/**
 * Schedules restarts of workers under their ids during a phase. Calls to the worker
 * are late around its restart, and it is cut off from all hosts soon after.
 */
export function scheduleRestarts(
  site: ModelSite,
  restarts: number,
  phaseMillis: number,
  seed: number,
): void {
  const random = createRandom(seed);
  const upTo = (millis: number) => Math.floor(random() * millis);
  const late = new FaultCounts();
  const cutOff = new FaultCounts();
  const kept = new FaultCounts();
  injectCallFaults(site, random, {late, cutOff, kept});
  const holdFor = (counts: FaultCounts, {id}: ModelWorker, millis: number) => {
    counts.change(id, 1);
    site.clock.after(millis, () => counts.change(id, -1));
  };
  const restart = (worker: ModelWorker) => {
    const downMillis = upTo(MAX_DOWN_MILLIS);
    const cutDelayMillis = upTo(MAX_CUT_DELAY_MILLIS);
    const cutMillis = MIN_CUT_MILLIS + upTo(MAX_CUT_MILLIS - MIN_CUT_MILLIS);
    const entryDelayMillis = upTo(MAX_ENTRY_DELAY_MILLIS);
    if (!worker.isUp) {
      return;
    }
    worker.isUp = false;
    worker.restart();
    if (random() < KEPT_CALLS_SHARE) {
      holdFor(kept, worker, downMillis + 1);
    }
    holdFor(late, worker, downMillis + LATE_AFTER_MILLIS);
    site.clock.after(downMillis, () => {
      worker.isUp = true;
      site.clock.after(entryDelayMillis, () => site.writeRegistryEntry(worker));
      site.clock.after(cutDelayMillis, () =>
        holdFor(cutOff, worker, cutMillis),
      );
    });
  };
  for (let time = 0; time < restarts; time++) {
    const worker = site.workers[upTo(site.workers.length)];
    site.clock.after(upTo(phaseMillis), () => {
      holdFor(late, worker, LATE_BEFORE_MILLIS);
      site.clock.after(LATE_BEFORE_MILLIS, () => restart(worker));
    });
  }
}

/** Adds faults of calls to workers to those of a site. */
function injectCallFaults(
  site: ModelSite,
  random: () => number,
  faults: {
    readonly late: FaultCounts;
    readonly cutOff: FaultCounts;
    readonly kept: FaultCounts;
  },
): void {
  const {late, cutOff, kept} = faults;
  const earlier = site.faultState;
  site.faultState = {
    ...earlier,
    canCall: (host, worker) =>
      !cutOff.has(worker) && earlier.canCall(host, worker),
    losesPollAnswer: worker => late.has(worker) && random() < LOST_POLL_SHARE,
    losesOrderAnswer: worker =>
      late.has(worker)
        ? random() < LOST_ORDER_SHARE
        : earlier.losesOrderAnswer(worker),
    // The square makes short delays, within which a worker is back, more likely.
    orderDelayMillis: () => Math.floor(random() ** 2 * MAX_CALL_DELAY_MILLIS),
    keepsCallsToDownWorkers: worker => kept.has(worker),
  };
}
