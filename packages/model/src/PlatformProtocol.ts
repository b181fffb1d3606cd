import * as z from 'zod/mini';

/** Messages of the platform's log and host list. */

/** One record of a stream of the log. */
export const logRecordSchema = z.object({
  offset: z.int(),
  /** Milliseconds since 1970 by the log's clock. */
  appendedAt: z.number(),
  body: z.unknown(),
});

/** One record of a stream of the log. */
export type LogRecord = z.infer<typeof logRecordSchema>;

/** A run of records of a stream. */
export const logPageSchema = z.object({
  records: z.array(logRecordSchema),
  /** Offset to read from next. */
  next: z.int(),
  /** Oldest offset that is still kept. */
  oldest: z.int(),
});

/** A run of records of a stream. */
export type LogPage = z.infer<typeof logPageSchema>;

/** The answer to an append. */
export const appendAnswerSchema = z.object({offset: z.int()});

/** A host of the system as the platform lists it. */
export const listedHostSchema = z.object({
  name: z.string(),
  zone: z.string(),
  /** Address and port for other entry hosts. */
  peerAddress: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** A host of the system as the platform lists it. */
export type ListedHost = z.infer<typeof listedHostSchema>;

/** The lagging list of hosts. */
export const hostListSchema = z.object({hosts: z.array(listedHostSchema)});
