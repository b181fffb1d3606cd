import * as z from 'zod/mini';
import {
  jobOutcomeSchema,
  jobRequestSchema,
  requestOutcomeSchema,
  serviceRequestSchema,
} from './CallerProtocol';
import {revisionSchema} from './ConfigurationProtocol';
import {workChangeSchema} from './WorkRecord';

/** Messages between entry hosts. Any of them may be lost or come late. */

/** A call that is passed on to the host that decides on it. */
export const peerCallSchema = z.discriminatedUnion('call', [
  z.object({call: z.literal('request'), request: serviceRequestSchema}),
  z.object({call: z.literal('submit'), request: jobRequestSchema}),
  z.object({call: z.literal('status'), key: z.string()}),
  z.object({call: z.literal('cancel'), key: z.string()}),
]);

/** A call that is passed on to the host that decides on it. */
export type PeerCall = z.infer<typeof peerCallSchema>;

/** What comes back for a call. */
export const callOutcomeSchema = z.union([
  requestOutcomeSchema,
  jobOutcomeSchema,
]);

/** What comes back for a call. */
export type CallOutcome = z.infer<typeof callOutcomeSchema>;

/** One message between entry hosts. */
export const peerMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('heartbeat'),
    /** Shards that the sender holds. */
    holding: z.array(z.string()),
    revision: z.int(),
    leaving: z.boolean(),
    /** Names this run of the sender. */
    incarnation: z.string(),
  }),
  z.object({type: z.literal('revision-wanted')}),
  z.object({type: z.literal('revision'), revision: revisionSchema}),
  z.object({
    type: z.literal('call'),
    callId: z.string(),
    /** Milliseconds that the caller still waits. */
    remainingMillis: z.number(),
    /** How often it was passed on. */
    hops: z.int(),
    call: peerCallSchema,
  }),
  z.object({
    type: z.literal('call-outcome'),
    callId: z.string(),
    outcome: callOutcomeSchema,
  }),
  z.object({
    type: z.literal('replicate'),
    shardId: z.string(),
    /** Names the run of changes; a new one starts with the whole shard. */
    copyId: z.string(),
    /** The changes are those after this number; 0 starts the run. */
    after: z.int(),
    upTo: z.int(),
    changes: z.array(workChangeSchema),
  }),
  z.object({
    type: z.literal('replicated'),
    shardId: z.string(),
    copyId: z.string(),
    upTo: z.int(),
  }),
  z.object({
    type: z.literal('recover'),
    shardId: z.string(),
    recoveryId: z.string(),
  }),
  z.object({
    type: z.literal('recovered'),
    shardId: z.string(),
    recoveryId: z.string(),
    /** How long this run of the sender has been up. */
    upMillis: z.number(),
    changes: z.array(workChangeSchema),
  }),
]);

/** One message between entry hosts. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** What one stream carries at a time. */
export const peerEnvelopeSchema = z.object({
  from: z.string(),
  zone: z.string(),
  messages: z.array(peerMessageSchema),
});

/** What one stream carries at a time. */
export type PeerEnvelope = z.infer<typeof peerEnvelopeSchema>;
