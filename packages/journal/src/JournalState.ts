import {createTableSlice} from '@samphireramp/kernel';
import {durabilitySchema, workChangeSchema} from '@samphireramp/model';
import * as z from 'zod/mini';

/** The writing side of a held shard's journal. */
export const shardJournalSchema = z.object({
  shardId: z.string(),
  /** Changes that are in no batch for the log yet. */
  pending: z.array(workChangeSchema),
  /** The batch that is on its way to the log, repeated until it is there. */
  appending: z.optional(z.array(workChangeSchema)),
  appendingSnapshot: z.boolean(),
  /** Counts the batches of this writer. */
  sequence: z.int(),
  appendAt: z.number(),
  /** A failed append is repeated, not before `appendAt`. */
  isWaiting: z.boolean(),
  snapshotAt: z.number(),
  /** Counts changes recorded, sent to the log and safe there. */
  recorded: z.int(),
  batched: z.int(),
  stored: z.int(),
  /** Recorded changes up to this number are with the second host. */
  replicated: z.int(),
  /** The host that gets the copies; none while no other one lives. */
  standby: z.optional(
    z.object({
      name: z.string(),
      incarnation: z.optional(z.string()),
      /** Names the run of changes that this standby gets. */
      copyId: z.string(),
    }),
  ),
  /** Changes for the standby that it did not acknowledge. */
  unacknowledged: z.array(workChangeSchema),
  /** Number of the last change the standby acknowledged in this run. */
  acknowledged: z.int(),
  /** Number of the last change that was sent to the standby. */
  sent: z.int(),
  resendAt: z.number(),
});

/** The writing side of a held shard's journal. */
export type ShardJournal = z.infer<typeof shardJournalSchema>;

/** Journals of the shards that this host holds. */
export const JOURNALS = createTableSlice<ShardJournal>('journals');

/** Somebody who waits until changes are safe. */
export const durableWaitSchema = z.object({
  ticket: z.string(),
  shardId: z.string(),
  durability: durabilitySchema,
  /** Number of the last change that has to be safe. */
  upTo: z.int(),
});

/** Somebody who waits until changes are safe. */
export type DurableWait = z.infer<typeof durableWaitSchema>;

/** Those who wait, by ticket. */
export const DURABLE_WAITS = createTableSlice<DurableWait>('durable-waits');

/** The recovery of a shard that was just taken over. */
export const recoverySchema = z.object({
  shardId: z.string(),
  recoveryId: z.string(),
  /** Peers that have not answered yet. */
  awaitedPeers: z.array(z.string()),
  /** Hosts that were replaced lately, and so may have lost a copy. */
  replacedHosts: z.int(),
  awaitsLog: z.boolean(),
  /** What was last told of how much is known. */
  isCompleteTold: z.boolean(),
  /** Whether the shard serves already, without those still awaited. */
  isServing: z.boolean(),
  /** Monotonic milliseconds at which the shard serves in any case. */
  serveAt: z.number(),
  askAt: z.number(),
});

/** The recovery of a shard that was just taken over. */
export type Recovery = z.infer<typeof recoverySchema>;

/** Recoveries under way, by shard. */
export const RECOVERIES = createTableSlice<Recovery>('recoveries');

/** How far this host keeps the copy of another one's run of changes. */
export const copyPositionSchema = z.object({
  copyId: z.string(),
  upTo: z.int(),
});

/** How far this host keeps the copy of another one's run of changes. */
export type CopyPosition = z.infer<typeof copyPositionSchema>;

/** Positions of kept copies, by shard. */
export const COPY_POSITIONS = createTableSlice<CopyPosition>('copy-positions');
