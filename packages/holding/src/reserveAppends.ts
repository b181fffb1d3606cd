import type {Update} from '@samphireramp/kernel';
import {type AppendOutcome, reachedLogEnd} from '@samphireramp/stream-log';
import {match} from 'ts-pattern';
import {
  MIN_APPEND_TIMEOUT_MILLIS,
  REFUSED_APPEND_RETRY_DELAY_MILLIS,
} from './appendTiming';
import {HOLDING, pendingKeyOf} from './HoldingState';
import {
  APPEND_RESERVE,
  READ_RESERVE_NOW,
  type ReserveEntry,
  type ReserveRead,
} from './messages';
import {
  RESERVE,
  RESERVE_COPY,
  type ReserveBatch,
  changeReserve,
  isOwnReserveRecord,
} from './reserveState';

/** What a batch of the reserve journal consists of. */
export type ReserveBatchContent = Pick<
  ReserveBatch,
  'purpose' | 'entries' | 'deferredCommands' | 'jobsUntil'
>;

/** A fence with the entries that the reserve journal no longer needs. */
export function fenceContent(
  entries: readonly ReserveEntry[],
): ReserveBatchContent {
  return {
    purpose: 'fence',
    entries,
    deferredCommands: [],
    jobsUntil: -Infinity,
  };
}

/** Sends a batch, headed by a holder record, if the end of the stream is known. */
export function sendReserveBatch(
  update: Update,
  content: ReserveBatchContent,
): void {
  const {endOffset, batchInFlight, nextBatchNumber} = update
    .read(RESERVE)
    .get();
  const {latestHolderRecord} = update.read(HOLDING).get();
  if (
    endOffset === undefined ||
    batchInFlight !== undefined ||
    latestHolderRecord === undefined
  ) {
    return;
  }
  const {holder, incarnation, term} = latestHolderRecord;
  const number = nextBatchNumber;
  const record = {holder, incarnation, term, batch: number, isResigned: false};
  const batch: ReserveBatch = {
    ...content,
    number,
    entries: [{kind: 'holder', record}, ...content.entries],
    sentAt: undefined,
    retryAt: 0,
  };
  changeReserve(update, {nextBatchNumber: number + 1});
  send(update, batch, endOffset);
}

/** Sends the batch in flight again, if that is due. */
export function resendReserveBatch(update: Update): void {
  const {batchInFlight: batch, endOffset} = update.read(RESERVE).get();
  if (
    batch !== undefined &&
    endOffset !== undefined &&
    batch.sentAt === undefined &&
    update.now >= batch.retryAt
  ) {
    send(update, batch, endOffset);
  }
}

function send(update: Update, batch: ReserveBatch, expectedEnd: number): void {
  changeReserve(update, {
    batchInFlight: {...batch, sentAt: update.now},
    lastAppendAt: update.now,
  });
  update.emit(APPEND_RESERVE, {
    batch: batch.number,
    expectedEnd,
    entries: batch.entries,
    timeoutMillis: MIN_APPEND_TIMEOUT_MILLIS,
  });
}

/**
 * Handles the outcome of an append. Returns the batch if it is durable, which is no
 * longer in flight then.
 */
export function onReserveAppended(
  update: Update,
  number: number,
  outcome: AppendOutcome,
  onTooLarge: (batch: ReserveBatch) => void,
): ReserveBatch | undefined {
  const {batchInFlight: batch} = update.read(RESERVE).get();
  if (batch === undefined || batch.number !== number) {
    return undefined;
  }
  const retryAfter = (millis: number) =>
    changeReserve(update, {
      batchInFlight: {
        ...batch,
        sentAt: undefined,
        retryAt: update.now + millis,
      },
    });
  return match(outcome)
    .with({kind: 'appended'}, ({offset, endOffset}) => {
      settleBatch(update, batch, offset, endOffset);
      return batch;
    })
    .with({kind: 'conflict'}, () => {
      retryAfter(Infinity);
      update.emit(READ_RESERVE_NOW, undefined);
      return undefined;
    })
    .with({kind: 'too-large'}, () => {
      onTooLarge(batch);
      return undefined;
    })
    .with({kind: 'refused'}, {kind: 'unknown'}, () => {
      retryAfter(REFUSED_APPEND_RETRY_DELAY_MILLIS);
      return undefined;
    })
    .exhaustive();
}

/**
 * Applies a read to the copy. Returns the batch in flight if the read shows that it
 * is durable.
 */
export function applyReserveRead(
  update: Update,
  incarnation: string,
  read: ReserveRead,
): ReserveBatch | undefined {
  const copy = update.write(RESERVE_COPY);
  if (read.isSnapshot) {
    copy.clear();
  }
  for (const stored of read.entries) {
    copy.set(pendingKeyOf(stored.entry), stored);
  }
  const reserve = update.read(RESERVE).get();
  const batch = reserve.batchInFlight;
  changeReserve(update, {isReadable: true});
  const own = read.entries.find(
    stored =>
      isOwnReserveRecord(update, incarnation, stored) &&
      stored.entry.kind === 'holder' &&
      stored.entry.record.batch === batch?.number,
  );
  if (batch !== undefined && own !== undefined) {
    settleBatch(update, batch, own.offset, own.offset + batch.entries.length);
    return batch;
  }
  if (reachedLogEnd(read)) {
    changeReserve(update, {
      endOffset: Math.max(read.endOffset, reserve.endOffset ?? 0),
      // A batch after a conflict that isn't in the stream is sent again.
      batchInFlight: batch && {
        ...batch,
        retryAt: Math.min(batch.retryAt, update.now),
      },
    });
  }
  return undefined;
}

function settleBatch(
  update: Update,
  batch: ReserveBatch,
  offset: number,
  endOffset: number,
): void {
  const copy = update.write(RESERVE_COPY);
  batch.entries.forEach((entry, index) => {
    if (entry.kind === 'withdrawn') {
      copy.delete(pendingKeyOf(entry.entry));
    } else {
      copy.set(pendingKeyOf(entry), {offset: offset + index, entry});
    }
  });
  const {endOffset: knownEnd} = update.read(RESERVE).get();
  changeReserve(update, {
    batchInFlight: undefined,
    endOffset: Math.max(endOffset, knownEnd ?? 0),
    isUnfenced: false,
  });
}
