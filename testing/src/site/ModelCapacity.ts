import {
  NO_RESOURCES,
  type Resources,
  type Step,
  reservedResources,
} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';

/** Longest time until a worker's registry entry shows its new capacity. */
export const MAX_ENTRY_DELAY_MILLIS = 1500;
/**
 * Time for which orders may still be sent by a capacity that has shrunk: what
 * the entry may take, and 4 seconds for the hosts to read it.
 */
const SHRINK_GRACE_MILLIS = MAX_ENTRY_DELAY_MILLIS + 4000;

/** A capacity that a worker had before the present one. */
interface EarlierCapacity {
  readonly capacity: Resources;
  readonly changedAt: number;
}

/** The capacity of a model worker, which may change while the worker runs. */
export class ModelCapacity {
  private readonly earlier: EarlierCapacity[] = [];

  constructor(
    private readonly timeline: Timeline,
    private capacity: Resources,
  ) {}

  /** Returns the present capacity. */
  current(): Resources {
    return this.capacity;
  }

  /** Shrinks the capacity or lets it grow. */
  change(capacity: Resources): void {
    const {now} = this.timeline;
    this.earlier.push({capacity: this.capacity, changedAt: now});
    this.capacity = capacity;
  }

  /** Lists the capacities by any of which an order of that time may be sent. */
  listValid(orderSentAt: number): Resources[] {
    const recent = this.earlier.filter(
      ({changedAt}) => changedAt >= orderSentAt - SHRINK_GRACE_MILLIS,
    );
    return [this.capacity, ...recent.map(({capacity}) => capacity)];
  }
}

/** Returns a share of some resources, in whole units. */
export function shareOf(resources: Resources, share: number): Resources {
  return {
    cpuMillis: Math.floor(resources.cpuMillis * share),
    memoryMegabytes: Math.floor(resources.memoryMegabytes * share),
    accelerators: Math.floor(resources.accelerators * share),
  };
}

/** Sums what runs of the given steps reserve. */
export function sumReserved(steps: readonly Step[]): Resources {
  return steps.map(reservedResources).reduce(
    (sum, need) => ({
      cpuMillis: sum.cpuMillis + need.cpuMillis,
      memoryMegabytes: sum.memoryMegabytes + need.memoryMegabytes,
      accelerators: sum.accelerators + need.accelerators,
    }),
    NO_RESOURCES,
  );
}

/** Whether what a worker's runs reserve fits a capacity. */
export function fits(reserved: Resources, capacity: Resources): boolean {
  return (
    reserved.cpuMillis <= capacity.cpuMillis &&
    reserved.memoryMegabytes <= capacity.memoryMegabytes &&
    reserved.accelerators <= capacity.accelerators
  );
}
