import * as z from 'zod/mini';

/** Expected duration of a call to the adviser, and validity of its tickets. */
export const adviceTermsSchema = z.object({
  /** Fixed milliseconds of a call, whatever the number of workers. */
  decisionMillis: z.number(),
  /** Additional milliseconds for each worker in the call. */
  perWorkerMillis: z.number(),
  /** How long a ticket is valid, in milliseconds. */
  validityMillis: z.number(),
});

/** Scheduling policy of a queue. */
export const queuePolicySchema = z.object({
  name: z.string(),
  /** Name of the pool whose workers run the tasks. */
  pool: z.string(),
  /** Lower numbers are placed first; 0 is the most urgent. */
  priority: z.number(),
  /** A job fails once one of its tasks has failed this many times. */
  maxAttempts: z.number(),
  /** The objective is this many times the critical path of the job ... */
  stretch: z.number(),
  /** ... plus this many milliseconds. */
  targetMillis: z.number(),
  /** Set if an adviser decides which workers may run a step of the queue. */
  advice: z.optional(adviceTermsSchema),
});

/** Host name and path under which callers reach a queue. */
export const queueRouteSchema = z.object({
  hostName: z.string(),
  pathPrefix: z.string(),
  policy: queuePolicySchema,
});

/** A pool of workers, as configured. */
export const poolSchema = z.object({
  name: z.string(),
  /** Whether its workers reject tasks that exceed their free resources. */
  guardsRoom: z.boolean(),
});

/** Configuration of a site: its queues, pools and limits. */
export const siteConfigurationSchema = z.object({
  revision: z.number(),
  routes: z.array(queueRouteSchema),
  pools: z.array(poolSchema),
  maxBodyBytes: z.number(),
});

/** Expected duration of a call to the adviser, and validity of its tickets. */
export type AdviceTerms = z.infer<typeof adviceTermsSchema>;
/** Scheduling policy of a queue. */
export type QueuePolicy = z.infer<typeof queuePolicySchema>;
/** Host name and path under which callers reach a queue. */
export type QueueRoute = z.infer<typeof queueRouteSchema>;
/** Configuration of a site: its queues, pools and limits. */
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;

/** Finds the route whose path prefix is the longest that matches `path`. */
export function findRoute(
  configuration: SiteConfiguration,
  hostName: string,
  path: string,
): QueueRoute | undefined {
  let longest: QueueRoute | undefined;
  for (const route of configuration.routes) {
    const isMatch =
      route.hostName === hostName && path.startsWith(route.pathPrefix);
    if (
      isMatch &&
      route.pathPrefix.length > (longest?.pathPrefix.length ?? -1)
    ) {
      longest = route;
    }
  }
  return longest;
}
