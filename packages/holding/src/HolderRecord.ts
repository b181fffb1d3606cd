import * as z from 'zod/mini';

/** Schema of the record that begins each batch of the journal. */
export const holderRecordSchema = z.object({
  /** Name of the host that wrote the batch. */
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
  /** True in the last batch of a holder that shuts down. */
  isResigned: z.boolean(),
  /**
   * How old the holder's knowledge of the requests was when it learned that its
   * previous batch is durable; negative if it has read them since. The journal up
   * to this batch has every job whose request was appended before that. Absent
   * if the holder has not read all partitions yet. An age, since the clocks of
   * hosts differ.
   */
  requestsAgeMillis: z.optional(z.number()),
  /**
   * Time from the beginning of the holding to when the batch was created. With it
   * a reader can tell times that the journal counts from that beginning. Absent in
   * a claim, and in the batches of a host that fences the reserve journal.
   */
  termMillis: z.optional(z.number()),
  /**
   * The journal up to this batch has what the reserve journal has before this offset.
   * From there on, the reserve has what the holder recorded later, while the journal
   * took no append. Absent if the holder does not use it.
   */
  reserveEnd: z.optional(z.number()),
});

/** Names the holder that wrote a batch, and its term. */
export type HolderRecord = z.infer<typeof holderRecordSchema>;
