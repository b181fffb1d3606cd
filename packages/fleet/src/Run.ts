import type {Resources, RunId} from '@samphireramp/jobs';

/** An attempt to execute a task on a worker, as the holder knows it. */
export interface Run {
  readonly runId: RunId;
  /** Incarnation of the worker. */
  readonly incarnation: string;
  /** Resources reserved for the run until the worker reports its end. */
  readonly reserved: Resources;
  readonly phase: RunPhase;
  /** When a start or stop order was last sent for it. */
  readonly lastOrderAt: number;
  /** Number of start orders that this holder sent. */
  readonly startOrders: number;
  /** When the worker confirmed the run, or when it was adopted; else undefined. */
  readonly confirmedAt: number | undefined;
  /** Whether this incarnation of the worker has reported it as running. */
  readonly isReported: boolean;
  /** Work done, 0 to 100 percent, as last reported. */
  readonly percentDone: number;
  /** When `percent` last changed or the run was confirmed. */
  readonly progressedAt: number;
  /** Whether a lack of progress counts as a stall; false for a service. */
  readonly expectsProgress: boolean;
  /** The newest checkpoint reported; empty for none. */
  readonly checkpoint: string;
}

/**
 * `reserved`: waits until its placement is durable; `ordered`: a start order was
 * sent; `running`: the worker confirmed it; `stopping`: a stop order was sent, and
 * its end is not reported yet.
 */
export type RunPhase = 'reserved' | 'ordered' | 'running' | 'stopping';

/** A run to start, and what the worker needs to start it. */
export interface StartOrder {
  readonly runId: RunId;
  readonly incarnation: string;
  readonly input: string;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Why a worker did not start a run. */
export type StartRefusal =
  | 'fenced'
  | 'superseded'
  | 'late'
  | 'no-room'
  | 'bad-ticket'
  | 'unhealthy'
  | 'malformed'
  | 'other-life';
