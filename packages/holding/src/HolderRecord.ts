import * as z from 'zod/mini';

/** The first record of each batch: which holder wrote it, in which term. */
export const holderRecordSchema = z.object({
  holder: z.string(),
  /** Distinguishes this process of the holder from its earlier ones. */
  incarnation: z.string(),
  /**
   * Number of the holding, derived from the offset of its claim so that it only
   * grows. Workers refuse orders of a lower term.
   */
  term: z.number(),
  /** Number of the batch within its term; 0 is the claim. */
  batch: z.number(),
  /** Set in the last batch of a holder that shuts down. */
  isResigned: z.boolean(),
});

/** The record of the holder at the head of each batch. */
export type HolderRecord = z.infer<typeof holderRecordSchema>;
