import {createCommand, createEffect} from '@samphireramp/kernel';
import type {Durability, LogPage, WorkChange} from '@samphireramp/model';
import * as z from 'zod/mini';
import {workChangeSchema} from '@samphireramp/model';

/** Changes of accepted work, to be kept by the second host and the log. */
export const RECORD_CHANGES =
  createCommand<readonly WorkChange[]>('record-changes');

/** Asks to be told when all that was recorded so far is safe enough. */
export const AWAIT_DURABLE = createCommand<{
  readonly ticket: string;
  readonly shardId: string;
  readonly durability: Durability;
}>('await-durable');

/** What was recorded before the ticket is as safe as was asked. */
export const DURABLE = createCommand<{readonly ticket: string}>('durable');

/**
 * The accepted work of a shard, as far as it could be brought together. It is
 * complete once no host that may hold a copy is left to be heard; until then
 * this may come again with more.
 */
export const SHARD_RECOVERED = createCommand<{
  readonly shardId: string;
  readonly changes: readonly WorkChange[];
  readonly isComplete: boolean;
  /** Whether all that the log keeps of the shard is among it. */
  readonly isLogRead: boolean;
}>('shard-recovered');

/** Time to append, to send again and to end waits. */
export const JOURNAL_TICK = createCommand<void>('journal-tick');

/** A batch is in the log. */
export const APPENDED = createCommand<{
  readonly shardId: string;
  readonly sequence: number;
}>('appended');

/** A batch may or may not be in the log. */
export const APPEND_FAILED = createCommand<{readonly shardId: string}>(
  'append-failed',
);

/** A page of a shard's journal was read. */
export const JOURNAL_READ = createCommand<{
  readonly shardId: string;
  readonly recoveryId: string;
  readonly page: LogPage;
}>('journal-read');

/** A shard's journal can't be read now. */
export const JOURNAL_UNREADABLE = createCommand<{
  readonly shardId: string;
  readonly recoveryId: string;
}>('journal-unreadable');

/** One append: changes, or the whole of a shard as a snapshot. */
export const journalBatchSchema = z.object({
  writer: z.string(),
  sequence: z.int(),
  snapshot: z.boolean(),
  changes: z.array(workChangeSchema),
});

/** One append: changes, or the whole of a shard as a snapshot. */
export type JournalBatch = z.infer<typeof journalBatchSchema>;

/** Appends a batch to a shard's journal. */
export const APPEND_BATCH = createEffect<{
  readonly shardId: string;
  readonly batch: JournalBatch;
}>('append-batch');

/** Reads a shard's journal from an offset. */
export const READ_JOURNAL = createEffect<{
  readonly shardId: string;
  readonly recoveryId: string;
  readonly from: number;
}>('read-journal');

/** A record of the journal was set aside. */
export const RECORD_SET_ASIDE = createEffect<{
  readonly shardId: string;
  readonly offset: number;
  readonly detail: string;
}>('record-set-aside');
