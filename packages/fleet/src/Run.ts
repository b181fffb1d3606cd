import type {Resources, RunId} from '@samphireramp/jobs';

/** An attempt to execute a task on a worker, as the holder knows it. */
export interface Run {
  readonly runId: RunId;
  /** Incarnation of the worker. */
  readonly incarnation: string;
  /** Name of the client account of its job; empty for none. */
  readonly account: string;
  /** Resources reserved for the run until the worker reports its end. */
  readonly reserved: Resources;
  readonly phase: RunPhase;
  /** When the run was reserved, or when an order for it was last sent. */
  readonly lastOrderAt: number;
  /** Number of start orders that this holder sent. */
  readonly startOrders: number;
  /**
   * When the worker first reported the run or confirmed an order for it; for an
   * adopted run, when it was adopted. Undefined before that.
   */
  readonly confirmedAt: number | undefined;
  /**
   * When this holder learned that its order had started the run; undefined before
   * that, and for an adopted run.
   */
  readonly startedAt: number | undefined;
  /** Whether this incarnation of the worker has reported it as running. */
  readonly isReported: boolean;
  /** Work done, 0 to 100 percent, as last reported. */
  readonly percentDone: number;
  /** When `percentDone` last changed or the run was confirmed. */
  readonly progressedAt: number;
  /**
   * Expected run time on its worker, in milliseconds; infinite if the run has no end or
   * nothing is known of it.
   */
  readonly expectedMillis: number;
  /** Whether a lack of progress counts as a stall; false for a service. */
  readonly expectsProgress: boolean;
  /** The newest checkpoint reported; empty for none. */
  readonly checkpoint: string;
}

/**
 * `reserved`: waits until its placement is durable; `ordered`: a start order
 * was sent; `running`: the worker confirmed it, or this holder adopted it;
 * `stopping`: a stop order was sent, and its end is not reported yet.
 */
export type RunPhase = 'reserved' | 'ordered' | 'running' | 'stopping';

/** An order to start a run, with what the worker needs for it. */
export interface StartOrder {
  readonly runId: RunId;
  readonly incarnation: string;
  readonly input: string;
  /** The checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  /** Proof of the adviser that the worker may run the step, if it needs one. */
  readonly ticket: string | undefined;
}

/** Why a worker did not start a run. */
export type StartRefusal =
  /** A newer holder commands the worker. */
  | 'fenced'
  /** This run, or a later run of the task, has ended on the worker. */
  | 'superseded'
  /** The lease in the order had expired when the order arrived. */
  | 'late'
  /** The worker lacks the free resources. */
  | 'no-room'
  /** The worker rejected the ticket. */
  | 'bad-ticket'
  /** The worker takes no requests at present. */
  | 'unhealthy'
  /** The order was invalid, or the reason could not be understood. */
  | 'malformed'
  /** Another worker or incarnation answers at its address. */
  | 'other-life';

/** What became of a start order. */
export interface StartAnswer {
  /** `silent`: no answer came in time, so that it may still be carried out. */
  readonly outcome: 'started' | 'silent' | StartRefusal;
  /** Time on the clock of the life that answered; undefined if it isn't known. */
  readonly clockMillis?: number;
}

/** Why a worker that the holder still commands rejected a start order. */
export type RejectedStartReason = Exclude<
  StartRefusal,
  'fenced' | 'other-life'
>;
