import {createTableSlice} from '@samphireramp/kernel';
import {callOutcomeSchema, peerCallSchema} from '@samphireramp/model';
import * as z from 'zod/mini';

/** A call that this host has to answer, to a caller or to a peer. */
export const openCallSchema = z.object({
  callId: z.string(),
  call: peerCallSchema,
  key: z.string(),
  deadline: z.number(),
  hops: z.int(),
  /** The peer that passed it on, and its name for the call. */
  from: z.optional(z.object({peer: z.string(), callId: z.string()})),
  /** Shards that may decide on it, the next one first. */
  shardIds: z.array(z.string()),
  /** Names of the sends that were not answered. */
  unresolved: z.array(z.string()),
  sends: z.int(),
  /** Host that has the latest send; this one for a decision of its own. */
  sentTo: z.optional(z.string()),
  /** Monotonic milliseconds at which something has to be done next. */
  wakeAt: z.number(),
  lastRefusal: z.optional(callOutcomeSchema),
});

/** A call that this host has to answer. */
export type OpenCall = z.infer<typeof openCallSchema>;

/** Open calls by their identifier. */
export const CALLS = createTableSlice<OpenCall>('calls');
