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
