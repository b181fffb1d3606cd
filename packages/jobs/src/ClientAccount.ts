import * as z from 'zod/mini';
import {resourcesSchema} from './Resources';

/** A client account: who may hand in jobs, and what its jobs may use together. */
export const clientAccountSchema = z.object({
  name: z.string(),
  /** SHA-256 digests of its API keys, in hexadecimal. */
  keyDigests: z.array(z.string()),
  /** Jobs a second that it is entitled to, and its share when all is full. */
  weight: z.number(),
  /** Resources that its runs may reserve together; 0 for no limit. */
  limit: resourcesSchema,
});

/** A client account. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;

/** Account of jobs whose route needs no key. */
export const NO_ACCOUNT = '';

/**
 * Whether a caller may read and cancel a job. `caller` is the name of its account,
 * or undefined if the site has no accounts. A job without an account, of a public
 * route or from before the site had accounts, is open to every caller.
 */
export function mayAccessJob(
  caller: string | undefined,
  jobAccount: string,
): boolean {
  return (
    caller === undefined || jobAccount === NO_ACCOUNT || jobAccount === caller
  );
}
