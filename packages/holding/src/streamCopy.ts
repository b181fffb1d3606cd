import {type StreamRead, reachedLogEnd} from '@samphireramp/stream-log';
import type {HolderRecord} from './HolderRecord';
import {
  type JobKnowledge,
  NO_JOB_KNOWLEDGE,
  learnFromBatch,
} from './jobKnowledge';

/** How far this host has read a stream that only the holder writes. */
export interface StreamCopy {
  /** Whether the stream was read to its end at least once. */
  readonly isCaughtUp: boolean;
  /** End offset of the records applied so far. */
  readonly endOffset: number;
  /** End offset of the stream, as the log last told it. */
  readonly logEndOffset: number;
  /** All records that were appended before this time have been applied. */
  readonly completeUntil: number;
  /** What the newest batch tells, which may be read in part only. */
  readonly jobKnowledge: JobKnowledge;
  /**
   * Every job whose request was appended before this time is in the copy. Answers
   * that there is no such job rest on this alone.
   */
  readonly jobsCompleteUntil: number;
  /** The newest holder record in the stream. */
  readonly latestHolderRecord: HolderRecord | undefined;
  /** When the newest holder record was read or, on the holder, appended. */
  readonly holderHeardAt: number;
  /**
   * When the log last answered a read of the stream or an append to it: the log
   * can be reached, but the copy may be far behind.
   */
  readonly readAt: number;
}

/** The copy of a host that has read nothing. */
export const EMPTY_COPY: StreamCopy = {
  isCaughtUp: false,
  endOffset: 0,
  logEndOffset: 0,
  completeUntil: -Infinity,
  jobKnowledge: NO_JOB_KNOWLEDGE,
  jobsCompleteUntil: -Infinity,
  latestHolderRecord: undefined,
  holderHeardAt: 0,
  readAt: -Infinity,
};

/** Whether a read is a snapshot that ends before the copy does. */
export function isOutdatedSnapshot(
  copy: StreamCopy,
  read: Pick<StreamRead, 'isSnapshot' | 'endOffset'>,
): boolean {
  return read.isSnapshot && read.endOffset < copy.endOffset;
}

/** Returns the copy after a read with these holder records, in their order. */
export function advanceCopy(
  copy: StreamCopy,
  read: Omit<StreamRead, 'records'>,
  holderRecords: readonly HolderRecord[],
  now: number,
): StreamCopy {
  const {endOffset, logEndOffset, isSnapshot, sentAt} = read;
  let {latestHolderRecord, jobKnowledge} = copy;
  // Records that the copy did not have when it was complete are newer than that.
  // A snapshot has only the newest holder record, which may be newer than jobs
  // in it.
  const appendedAfter = isSnapshot ? -Infinity : copy.completeUntil;
  for (const record of holderRecords) {
    const previous = isSnapshot ? undefined : latestHolderRecord;
    jobKnowledge = learnFromBatch(
      jobKnowledge,
      previous,
      record,
      appendedAfter,
    );
    latestHolderRecord = record;
  }
  // The first read doesn't tell how old the records are, so the silence of the
  // holder counts from this read.
  const isHolderHeard = !copy.isCaughtUp || holderRecords.length > 0;
  const isComplete = reachedLogEnd(read);
  return {
    latestHolderRecord,
    jobKnowledge,
    // Elsewhere a page may end within a batch.
    jobsCompleteUntil: isComplete
      ? Math.max(copy.jobsCompleteUntil, jobKnowledge.jobsUntil)
      : copy.jobsCompleteUntil,
    holderHeardAt: isHolderHeard ? now : copy.holderHeardAt,
    endOffset: Math.max(copy.endOffset, endOffset),
    logEndOffset: Math.max(copy.logEndOffset, logEndOffset),
    completeUntil: isComplete
      ? Math.max(copy.completeUntil, sentAt)
      : copy.completeUntil,
    isCaughtUp: true,
    readAt: now,
  };
}
