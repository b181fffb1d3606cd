import type {
  PolicyDeclaration,
  ResourceVector,
  WorkloadDeclaration,
} from '@samphireramp/model';
import type {Bucket} from './WorkQueue';

/** What a policy sees of a bucket. */
export interface BucketView {
  readonly bucket: Bucket;
  readonly workload: WorkloadDeclaration;
  readonly policy: PolicyDeclaration;
  /** Largest part of any resource that the team holds, by its share. */
  readonly weightedShare: number;
  readonly oldestQueuedAt: number;
}

/** Orders buckets: negative if `first` goes first. */
export type BucketOrder = (first: BucketView, second: BucketView) => number;

/** First come, first served, whatever it is. */
export const arrivalOrder: BucketOrder = (first, second) =>
  first.oldestQueuedAt - second.oldestQueuedAt;

/** Urgent first; then the team that has least of its share; then arrival. */
export const fairShareOrder: BucketOrder = (first, second) =>
  urgencyOf(first) - urgencyOf(second) ||
  first.weightedShare - second.weightedShare ||
  arrivalOrder(first, second);

/** How many slots of a shard must stay free after placing a workload. */
export type SlotReserve = (
  workload: WorkloadDeclaration,
  policy: PolicyDeclaration,
  totalSlots: number,
) => number;

/** Keeps nothing free. */
export const noReserve: SlotReserve = () => 0;

/** Keeps slots for urgent work, and some more for short work. */
export const classReserve: SlotReserve = (workload, policy, totalSlots) => {
  if (workload.urgent) {
    return 0;
  }
  const urgent = Math.ceil(totalSlots * policy.urgentReserve);
  const short = Math.ceil(totalSlots * policy.shortReserve);
  return isLong(workload, policy) ? urgent + short : urgent;
};

/** Whether work is expected to run long. */
export function isLong(
  workload: WorkloadDeclaration,
  policy: PolicyDeclaration,
): boolean {
  return workload.expectedRunMillis > policy.longAfterMillis;
}

/** The largest part of any resource that is held, divided by the share. */
export function weightedDominantShare(
  held: ResourceVector,
  total: ResourceVector,
  share: number,
): number {
  let dominant = 0;
  for (let kind = 0; kind < held.length; kind++) {
    if (total[kind] > 0) {
      dominant = Math.max(dominant, held[kind] / total[kind]);
    }
  }
  return dominant / share;
}

function urgencyOf(view: BucketView): number {
  return view.workload.urgent ? 0 : 1;
}

/** The policies that a site runs with, as functions. */
export interface SchedulingPolicies {
  readonly order: BucketOrder;
  readonly reserve: SlotReserve;
}

/** The policies of the product. */
export const standardPolicies: SchedulingPolicies = {
  order: fairShareOrder,
  reserve: classReserve,
};

/** The baseline: first come, first served, nothing kept free. */
export const baselinePolicies: SchedulingPolicies = {
  order: arrivalOrder,
  reserve: noReserve,
};
