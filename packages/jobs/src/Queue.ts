import * as z from 'zod/mini';

/** What one call for advice costs, and how long what it gives is of use. */
export const adviceTermsSchema = z.object({
  /** Milliseconds that a call takes before any worker is looked at. */
  decisionMillis: z.number(),
  /** Milliseconds more for each worker named. */
  perWorkerMillis: z.number(),
  /** How long a ticket is of use, in milliseconds. */
  validityMillis: z.number(),
});

/** How the work of a queue is to be done. */
export const queuePolicySchema = z.object({
  name: z.string(),
  /** The pool of workers that runs the tasks. */
  pool: z.string(),
  /** 0 goes first. */
  priority: z.number(),
  /** Runs of a task that may end as failed before its job has failed. */
  maxAttempts: z.number(),
  /** The objective is this many times the longest chain of work ... */
  stretch: z.number(),
  /** ... and this many milliseconds more. */
  targetMillis: z.number(),
  /** Set where only some workers may run a step, and an adviser knows which. */
  advice: z.optional(adviceTermsSchema),
});

/** Where callers reach a queue. */
export const queueRouteSchema = z.object({
  hostName: z.string(),
  pathPrefix: z.string(),
  policy: queuePolicySchema,
});

/** A pool of workers, as configured. */
export const poolSchema = z.object({
  name: z.string(),
  /** Whether its workers refuse what does not fit. */
  guardsRoom: z.boolean(),
});

/** The configuration in force. */
export const siteConfigurationSchema = z.object({
  revision: z.number(),
  routes: z.array(queueRouteSchema),
  pools: z.array(poolSchema),
  maxBodyBytes: z.number(),
});

/** What one call for advice costs. */
export type AdviceTerms = z.infer<typeof adviceTermsSchema>;
/** How the work of a queue is to be done. */
export type QueuePolicy = z.infer<typeof queuePolicySchema>;
/** Where callers reach a queue. */
export type QueueRoute = z.infer<typeof queueRouteSchema>;
/** The configuration in force. */
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;

/** Finds the route with the longest prefix that `path` begins with. */
export function findRoute(
  configuration: SiteConfiguration,
  hostName: string,
  path: string,
): QueueRoute | undefined {
  let best: QueueRoute | undefined;
  for (const route of configuration.routes) {
    const fits =
      route.hostName === hostName && path.startsWith(route.pathPrefix);
    if (fits && route.pathPrefix.length > (best?.pathPrefix.length ?? -1)) {
      best = route;
    }
  }
  return best;
}
