import type {Resources, RunId} from '@samphireramp/jobs';

/** One run of a task on a worker, as the holder knows it. */
export interface Run {
  readonly runId: RunId;
  /** Life of the worker. */
  readonly incarnation: string;
  /** Room that it takes until its end is listed. */
  readonly need: Resources;
  readonly phase: RunPhase;
  /** When it was last ordered or told to stop. */
  readonly orderedAt: number;
  readonly orders: number;
  /** When the worker first confirmed it; undefined before. */
  readonly startedAt: number | undefined;
  /** Whether that life of the worker has listed it. */
  readonly isReported: boolean;
  /** Share of its work that is done, 0 to 100, as last listed. */
  readonly percent: number;
  /** When `percent` last rose. */
  readonly progressedAt: number;
  /** Whether it should get on; a service may stand still. */
  readonly expectsProgress: boolean;
  /** The newest checkpoint listed; empty for none. */
  readonly checkpoint: string;
}

/**
 * `reserved`: waits for the journal; `ordered`: the order is out; `running`:
 * confirmed; `stopping`: told to stop, until its end is listed.
 */
export type RunPhase = 'reserved' | 'ordered' | 'running' | 'stopping';

/** What a start carries beside its place. */
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
