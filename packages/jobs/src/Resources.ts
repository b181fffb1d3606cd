import * as z from 'zod/mini';

/** Resources that a task needs or a worker offers. */
export const resourcesSchema = z.object({
  /** Thousandths of a CPU core. */
  cpuMillis: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});

/** Resources that a task needs or a worker offers. */
export type Resources = z.infer<typeof resourcesSchema>;

/** The names of the resources. */
export const RESOURCE_NAMES = [
  'cpuMillis',
  'memoryMegabytes',
  'accelerators',
] as const satisfies ReadonlyArray<keyof Resources>;

/** No resources at all. */
export const NO_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/** Adds a multiple of some resources to others, in place; a negative one deducts them. */
export function addResources(
  resources: Resources,
  added: Resources,
  times = 1,
): void {
  resources.cpuMillis += added.cpuMillis * times;
  resources.memoryMegabytes += added.memoryMegabytes * times;
  resources.accelerators += added.accelerators * times;
}
