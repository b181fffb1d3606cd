import type {Resources} from '@samphireramp/jobs';

/** A worker as the list of workers has it. */
export interface WorkerRecord {
  readonly id: string;
  /** Tells one life of the worker from the next under the same id. */
  readonly incarnation: string;
  /** Milliseconds since 1970 at which this life began; 0 if it does not tell. */
  readonly bootedAt: number;
  /** HOST:PORT of its interface. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly pool: string;
  readonly capacity: Resources;
  readonly isDraining: boolean;
}

/** A reading of a worker's steady clock. */
export interface ClockReading {
  /** Milliseconds of the worker's clock. */
  readonly value: number;
  /** Milliseconds of this host's clock when the reading arrived. */
  readonly at: number;
}

/** A worker as the holder knows it. */
export interface Worker extends WorkerRecord {
  /** Whether the list of workers has it still. */
  readonly isRegistered: boolean;
  /** Whether it has answered under the holder's term. */
  readonly hasReported: boolean;
  readonly clock: ClockReading | undefined;
  /** Latest lease end sent to it, on its clock. */
  readonly leaseGrantedUntil: number;
  /** When it last answered; when it was met, before the first answer. */
  readonly answeredAt: number;
  /** Number of the last end that was taken in. */
  readonly seenEnd: number;
  /** Number of the last end that is durable. */
  readonly recordedEnd: number;
  readonly isPollOpen: boolean;
  readonly nextPollAt: number;
  /** Whether the last call to it had no answer. */
  readonly isSilent: boolean;
  /** Runs of different jobs that failed here in a row. */
  readonly failuresInRow: number;
  /** The job whose run failed last. */
  readonly lastFailedJob: string;
  /**
   * How much longer than estimated tasks take here, as a running mean of binary
   * logarithms.
   */
  readonly slowness: number;
  /** Runs that `slowness` rests on. */
  readonly slownessRuns: number;
  /** Whether it left the list on its own while it answered. */
  readonly hasLeft: boolean;
  /** New work is kept away until then. */
  readonly avoidedUntil: number;
}

/** How a run came to its end. */
export type RunOutcome =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
