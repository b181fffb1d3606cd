import {type Kernel, type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {
  APPENDED,
  APPEND_BATCH,
  APPEND_FAILED,
  JOURNAL_READ,
  JOURNAL_UNREADABLE,
  READ_JOURNAL,
  type JournalBatch,
} from '@samphireramp/journal';
import type {LogClient} from './LogClient';

/** The stream that carries the journal of a shard. */
export function journalStream(shardId: string): string {
  return `journal-${shardId}`;
}

/** Carries batches to the log, and pages of it back. */
export function createJournalClientPlugin(log: LogClient): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerEffect(APPEND_BATCH, ({shardId, batch}) => {
        void append(kernel, log, shardId, batch);
      }),
      kernel.registerEffect(READ_JOURNAL, ({shardId, recoveryId, from}) => {
        void read(kernel, log, shardId, recoveryId, from);
      }),
    );
}

async function append(
  kernel: Kernel,
  log: LogClient,
  shardId: string,
  batch: JournalBatch,
): Promise<void> {
  const result = await log.append(journalStream(shardId), batch);
  if (result.isOk()) {
    kernel.dispatch(APPENDED, {shardId, sequence: batch.sequence});
  } else {
    kernel.dispatch(APPEND_FAILED, {shardId});
  }
}

async function read(
  kernel: Kernel,
  log: LogClient,
  shardId: string,
  recoveryId: string,
  from: number,
): Promise<void> {
  const result = await log.read(journalStream(shardId), from, 0);
  if (result.isOk()) {
    kernel.dispatch(JOURNAL_READ, {shardId, recoveryId, page: result.value});
  } else {
    kernel.dispatch(JOURNAL_UNREADABLE, {shardId, recoveryId});
  }
}
