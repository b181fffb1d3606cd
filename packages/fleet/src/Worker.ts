import type {Resources} from '@samphireramp/jobs';
import type {Run} from './Run';

/** A worker as it is described in the worker registry. */
export interface WorkerRecord {
  readonly id: string;
  /**
   * Identifies one lifetime of the worker process; a restart begins a new one.
   */
  readonly incarnation: string;
  /** HOST:PORT of its HTTP interface. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly pool: string;
  readonly capacity: Resources;
  readonly isDraining: boolean;
}

/** A reading of a worker's monotonic clock. */
export interface ClockReading {
  /** Time on the worker's clock, in milliseconds. */
  readonly clockMillis: number;
  /** Time on this host's clock when the reading arrived, in milliseconds. */
  readonly receivedAt: number;
}

/** The crash of the process of a worker. */
export interface WorkerCrash {
  /** By what it was noticed, and when. */
  readonly reason: string;
  readonly noticedAt: number;
  /** The runs that the worker may have had, as they were known then. */
  readonly runs: readonly Run[];
}

/**
 * What became of the polls that acknowledged ends: `lost` if one of them failed, so
 * that it may be carried out late, by this life or the next one.
 */
export type SentAcknowledgement = 'none' | 'open' | 'lost';

/** A worker as the holder knows it. */
export interface Worker extends WorkerRecord {
  /**
   * Number of this life among those of the worker in this holding, from 1. It goes
   * up when the worker's leases have lapsed: what ran there has ended. It also goes up
   * when a late poll must not acknowledge the end of a run that is ordered now.
   */
  readonly life: number;
  /** Whether it is in the worker registry. */
  readonly isRegistered: boolean;
  /** Whether it has answered a poll of this holder. */
  readonly hasReported: boolean;
  /** The newest reading of its clock; undefined before its first report. */
  readonly clock: ClockReading | undefined;
  /** Latest lease end that it may have, in milliseconds of its clock. */
  readonly leaseGrantedUntil: number;
  /** When this holder last sent it a lease; -Infinity if it never has. */
  readonly leaseSentAt: number;
  /**
   * When it last answered a poll; before the first answer, when it was added.
   */
  readonly answeredAt: number;
  /** When the newest poll was sent that it answered; -Infinity before that. */
  readonly heardPollSentAt: number;
  /** Number of the newest reported end that was applied to the state. */
  readonly appliedEnd: number;
  /** Number of the newest reported end whose effects are durable. */
  readonly durableEnd: number;
  /** Number of the oldest end in its newest report; undefined for none. */
  readonly oldestListedEnd: number | undefined;
  /** Whether calls that carry the number of this life may still acknowledge ends. */
  readonly acknowledgement: SentAcknowledgement;
  /** Whether a poll of it is unanswered; while it is, no other poll is sent. */
  readonly isPollOpen: boolean;
  /** Earliest time of the next poll. */
  readonly nextPollAt: number;
  /** Whether its last poll failed, or a later incarnation answered it. */
  readonly isSilent: boolean;
  /** Whether its last poll failed as its address refused the connection. */
  readonly refusesConnections: boolean;
  /** Failed runs here since the last success; repeats by one job count once. */
  readonly consecutiveFailures: number;
  /** Job of the last run that was counted as a failure. */
  readonly lastFailedJobId: string;
  /**
   * Moving average of log2(actual duration / expected duration) over the runs
   * on this worker.
   */
  readonly logSlowdown: number;
  /** Number of runs in `logSlowdown`. */
  readonly slowdownSamples: number;
  /** Whether it was drained and removed from the registry while it answered. */
  readonly hasLeft: boolean;
  /** Whether it is gone, and kept only for runs that may still start. */
  readonly isGone: boolean;
  /** Since when an entry names another life, and this one has not answered a poll. */
  readonly doubtedAt: number | undefined;
  /** The life that answered in its place, which shows that it has ended. */
  readonly endedBy: string | undefined;
  /** Its crash, from when it is noticed until it is reported. */
  readonly crash: WorkerCrash | undefined;
  /** Whether its crash has been reported. */
  readonly isCrashReported: boolean;
  /** No new run is placed on it before this time. */
  readonly avoidedUntil: number;
  /** Only a few new runs are placed on it before this time. */
  readonly probationUntil: number;
}

/**
 * How a run ended. `lapsed`: the worker's lease expired; `broken`: another
 * member of its gang ended; `alone`: the other members of its gang did not
 * start in time.
 */
export type RunOutcome =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
