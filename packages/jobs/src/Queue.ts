import * as z from 'zod/mini';
import {clientAccountSchema} from './ClientAccount';

/** Expected duration of a call to the adviser, and validity of its tickets. */
export const adviceTermsSchema = z.object({
  /** Fixed part of the duration of a call, in milliseconds. */
  decisionMillis: z.number(),
  /** Added to the duration for each worker in the call, in milliseconds. */
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
  /** Factor applied to the critical path of a job to get its objective. */
  stretch: z.number(),
  /** Milliseconds added to `stretch` times the critical path. */
  targetMillis: z.number(),
  /** Set if an adviser decides which workers may run a step of the queue. */
  advice: z.optional(adviceTermsSchema),
});

/** HTTP host name and path prefix of the requests to a queue. */
export const queueRouteSchema = z.object({
  hostName: z.string(),
  pathPrefix: z.string(),
  policy: queuePolicySchema,
  /** Whether its calls need no API key. */
  isPublic: z.boolean(),
});

/** A pool of workers, as configured. */
export const poolSchema = z.object({
  name: z.string(),
  /** Whether its workers reject tasks that exceed their free resources. */
  guardsRoom: z.boolean(),
});

/** Configuration of a site: its queues, pools, accounts and limits. */
export const siteConfigurationSchema = z.object({
  revision: z.number(),
  routes: z.array(queueRouteSchema),
  pools: z.array(poolSchema),
  /** Empty if the site has no accounts, so that calls need no key. */
  clientAccounts: z.array(clientAccountSchema),
  maxBodyBytes: z.number(),
});

/** Expected duration of a call to the adviser, and validity of its tickets. */
export type AdviceTerms = z.infer<typeof adviceTermsSchema>;
/** Scheduling policy of a queue. */
export type QueuePolicy = z.infer<typeof queuePolicySchema>;
/** HTTP host name and path prefix of the requests to a queue. */
export type QueueRoute = z.infer<typeof queueRouteSchema>;
/** Configuration of a site: its queues, pools, accounts and limits. */
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;

/** Finds the route of a host name whose matching path prefix is the longest. */
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
