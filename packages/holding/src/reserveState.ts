import {
  type StateReader,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {
  type DeferredCommand,
  HOLDING,
  type HoldingState,
  pendingKeyOf,
} from './HoldingState';
import type {JournalEntry, ReserveEntry, StoredEntry} from './messages';

/** An append to the reserve journal that is not known to be durable. */
export interface ReserveBatch {
  /** Number within this process of the host, in its holder record. */
  readonly number: number;
  /**
   * `fence`: moves the end, so that no earlier append can take effect any more;
   * `journal-batch`: the batch that the journal does not take; `pending`: what was
   * recorded since.
   */
  readonly purpose: 'fence' | 'journal-batch' | 'pending';
  readonly entries: readonly ReserveEntry[];
  /** Commands to dispatch once the batch is durable. */
  readonly deferredCommands: readonly DeferredCommand[];
  /** Once it is durable, all jobs requested before this time are. */
  readonly jobsUntil: number;
  /** When it was last sent; undefined if it is to be sent again. */
  readonly sentAt: number | undefined;
  /** Earliest time to send it again; Infinity until the stream was read again. */
  readonly retryAt: number;
}

/** What this host knows of the reserve journal, while it holds or takes over. */
export interface ReserveState {
  /** End offset; undefined until the stream was read to its end. */
  readonly endOffset: number | undefined;
  /** Whether the log answered the newest read. */
  readonly isReadable: boolean;
  /** Whether an earlier append may still take effect at the present end. */
  readonly isUnfenced: boolean;
  /** `reserveEnd` of the newest batch that is durable in the journal. */
  readonly durableEnd: number | undefined;
  readonly batchInFlight: ReserveBatch | undefined;
  readonly nextBatchNumber: number;
  /** Most entries of a batch; less than all after one that was too large. */
  readonly maxBatchEntries: number;
  /** When a batch was last sent. */
  readonly lastAppendAt: number;
}

/** Before the stream is read. */
export const INITIAL_RESERVE: ReserveState = {
  endOffset: undefined,
  isReadable: false,
  isUnfenced: true,
  durableEnd: undefined,
  batchInFlight: undefined,
  nextBatchNumber: 0,
  maxBatchEntries: Infinity,
  lastAppendAt: 0,
};

/** The reserve journal, as this host knows it. */
export const RESERVE = createValueSlice<ReserveState>(
  'reserve',
  INITIAL_RESERVE,
);

/** The newest entry of each key in the reserve journal. */
export const RESERVE_COPY = createTableSlice<StoredEntry>('reserve-copy');

/** Entries that are durable in the reserve journal only, by their key. */
export const OWED_ENTRIES = createTableSlice<JournalEntry>('owed-entries');

/** Changes fields of the state of the reserve journal. */
export function changeReserve(
  update: Update,
  change: Partial<ReserveState>,
): void {
  const reserve = update.write(RESERVE);
  reserve.set({...reserve.get(), ...change});
}

/**
 * Forgets what is known of the reserve journal. The numbers of batches go on, so that a
 * late outcome of an earlier holding is not taken for one of the next.
 */
export function resetReserve(
  update: Update,
  durableEnd: number | undefined,
): void {
  const {nextBatchNumber} = update.read(RESERVE).get();
  update.write(RESERVE).set({...INITIAL_RESERVE, nextBatchNumber, durableEnd});
  update.write(RESERVE_COPY).clear();
  update.write(OWED_ENTRIES).clear();
}

/**
 * The offset from which a batch that is created now leaves the reserve journal valid;
 * undefined if the holder doesn't use it from then on.
 */
export function reserveEndToState(state: StateReader): number | undefined {
  const {isReadable, isUnfenced, endOffset, batchInFlight} = state
    .read(RESERVE)
    .get();
  return isReadable && !isUnfenced && batchInFlight === undefined
    ? endOffset
    : undefined;
}

/**
 * Whether the next holder is sure to read the reserve journal: whichever of the newest
 * batches it finds in the journal says so.
 */
export function isReserveStated(state: StateReader): boolean {
  const {durableEnd} = state.read(RESERVE).get();
  const {batchInFlight} = state.read(HOLDING).get();
  const isStatedInFlight =
    batchInFlight === undefined || batchInFlight.reserveEnd !== undefined;
  return durableEnd !== undefined && isStatedInFlight;
}

/** Adds an entry that is durable in the reserve journal to those that the journal lacks. */
export function addOwedEntry(update: Update, entry: JournalEntry): void {
  if (entry.kind !== 'holder') {
    update.write(OWED_ENTRIES).set(pendingKeyOf(entry), entry);
  }
}

/** Whether a record of the reserve journal is one of this holding. */
export function isOwnReserveRecord(
  state: StateReader,
  incarnation: string,
  {entry}: StoredEntry,
): boolean {
  return (
    entry.kind === 'holder' &&
    entry.record.incarnation === incarnation &&
    entry.record.term === ownTerm(state.read(HOLDING).get())
  );
}

/** The term of this host's claim, from when it is durable on. */
export function ownTerm(holding: HoldingState): number | undefined {
  return holding.phase === 'fencing' || holding.phase === 'holding'
    ? holding.latestHolderRecord?.term
    : undefined;
}
