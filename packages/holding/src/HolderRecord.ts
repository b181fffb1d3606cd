import * as z from 'zod/mini';

/** First record of each batch: who wrote it, and under which claim. */
export const holderRecordSchema = z.object({
  holder: z.string(),
  /** Tells one life of the holder's process from the next. */
  incarnation: z.string(),
  /** Rises with the offset of the claim; workers refuse orders of a lower one. */
  term: z.number(),
  /** Counts the batches of a term; 0 is the claim. */
  batch: z.number(),
  /** Set in the last batch of a holder that stops. */
  isResigned: z.boolean(),
});

/** First record of each batch. */
export type HolderRecord = z.infer<typeof holderRecordSchema>;
