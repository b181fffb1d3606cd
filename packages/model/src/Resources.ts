import * as z from 'zod/mini';

/** Processors in thousandths, so that sums are exact integers. */
export const MILLIS_PER_PROCESSOR = 1000;

const count = z.int().check(z.minimum(0));

/** What a worker has or a task needs. */
export const resourcesSchema = z.strictObject({
  /** Processors; thousandths are allowed. */
  processors: z.number().check(z.minimum(0), z.multipleOf(0.001)),
  memoryMegabytes: count,
  accelerators: z._default(count, 0),
  slots: z._default(count, 1),
  /** Connections of a worker that the work keeps open. */
  connections: z._default(count, 0),
});

/** What a worker has or a task needs. */
export type Resources = z.infer<typeof resourcesSchema>;

/** A part of a worker: what is not named is nothing. */
export const partSchema = z.strictObject({
  processors: z._default(
    z.number().check(z.minimum(0), z.multipleOf(0.001)),
    0,
  ),
  memoryMegabytes: z._default(count, 0),
  accelerators: z._default(count, 0),
  slots: z._default(count, 0),
  connections: z._default(count, 0),
});

/** A limit: what is not named is not limited. */
export const quotaSchema = z.strictObject({
  processors: z.optional(z.number().check(z.minimum(0), z.multipleOf(0.001))),
  memoryMegabytes: z.optional(count),
  accelerators: z.optional(count),
  slots: z.optional(count),
});

/** A limit: what is not named is not limited. */
export type Quota = z.infer<typeof quotaSchema>;

/** The kinds of resource, in the order of their columns. */
export const RESOURCE_KINDS = [
  'processors',
  'memoryMegabytes',
  'accelerators',
  'slots',
  'connections',
] as const;

const amount = z.number();

/** Amounts in column order: integers, processors in thousandths. */
export const resourceVectorSchema = z.readonly(
  z.tuple([amount, amount, amount, amount, amount]),
);

/** Amounts in column order: integers, processors in thousandths. */
export type ResourceVector = z.infer<typeof resourceVectorSchema>;

/** Nothing of any resource. */
export const NO_RESOURCES: ResourceVector = [0, 0, 0, 0, 0];

/** Turns declared resources into exact integers in column order. */
export function toResourceVector(resources: Resources): ResourceVector {
  return [
    Math.round(resources.processors * MILLIS_PER_PROCESSOR),
    resources.memoryMegabytes,
    resources.accelerators,
    resources.slots,
    resources.connections,
  ];
}

/** Turns a quota into amounts in column order, unlimited where not named. */
export function toQuotaVector(quota: Quota): ResourceVector {
  const {processors, memoryMegabytes, accelerators, slots} = quota;
  return [
    processors === undefined
      ? Infinity
      : Math.round(processors * MILLIS_PER_PROCESSOR),
    memoryMegabytes ?? Infinity,
    accelerators ?? Infinity,
    slots ?? Infinity,
    Infinity,
  ];
}

/** Adds `factor` times `second` to `first`. */
export function addResources(
  first: ResourceVector,
  second: ResourceVector,
  factor = 1,
): ResourceVector {
  return [
    first[0] + factor * second[0],
    first[1] + factor * second[1],
    first[2] + factor * second[2],
    first[3] + factor * second[3],
    first[4] + factor * second[4],
  ];
}

/** Whether `amount` is within `limit` in every kind of resource. */
export function isWithin(
  amount: ResourceVector,
  limit: ResourceVector,
): boolean {
  return amount.every((value, index) => value <= limit[index]);
}
