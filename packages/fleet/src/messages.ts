import {createCommand, createEffect} from '@samphireramp/kernel';
import type {RunId} from '@samphireramp/jobs';
import type {
  RejectedStartReason,
  StartAnswer,
  StartOrder,
  StartRefusal,
} from './Run';
import type {RunOutcome, WorkerRecord} from './Worker';

/** A run that a worker reports as running. */
export interface ReportedRun {
  readonly runId: RunId;
  readonly checkpoint: string;
  readonly percentDone: number;
}

/** The end of a run, as a worker reports it. */
export interface ReportedEnd {
  /** Sequence number within the worker's incarnation, from 1. */
  readonly endNumber: number;
  readonly runId: RunId;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** A worker's answer to a poll. */
export interface WorkerReport {
  /** Time on the worker's clock when it answered. */
  readonly clockMillis: number;
  /** The incarnation that answered. */
  readonly incarnation: string;
  readonly running: readonly ReportedRun[];
  /** Ends that are not acknowledged, the oldest first. */
  readonly ended: readonly ReportedEnd[];
  /** Whether `ended` may lack later ends, as a report has a limited number. */
  readonly mayLackEnds: boolean;
}

/** Why a call to a worker failed. */
export type CallFailure =
  /** A newer holder commands the worker. */
  | 'fenced'
  /** Another worker or incarnation answers at its address. */
  | 'other-life'
  /** Nothing listens at its address. */
  | 'closed'
  /** No usable answer came in time. */
  | 'silent';

/** A snapshot or a change of the worker registry was read. */
export const WORKER_REGISTRY_READ = createCommand<{
  readonly records: readonly WorkerRecord[];
  /** Ids of workers that were removed from the registry. */
  readonly removed: readonly string[];
  /** Whether `records` are all entries, so that any other worker is removed. */
  readonly isSnapshot: boolean;
}>('workers-listed');

/** A worker answered a poll. */
export const WORKER_REPORTED = createCommand<{
  readonly incarnation: string;
  readonly term: number;
  /** Where the poll was sent, and when. */
  readonly address: string;
  readonly sentAt: number;
  readonly report: WorkerReport;
}>('worker-held');

/** A poll failed. */
export const POLL_FAILED = createCommand<{
  readonly incarnation: string;
  readonly term: number;
  /** Where the poll was sent, and its fence. */
  readonly address: string;
  readonly fence: number;
  readonly failure: CallFailure;
  readonly detail: string;
}>('hold-failed');

/** Orders the start of a reserved run. */
export const START_RESERVED_RUN = createCommand<StartOrder>('start-run');

/** A start order was answered, or its answer did not come in time. */
export const START_ANSWERED = createCommand<
  StartAnswer & {
    readonly order: StartOrder;
    readonly term: number;
    /** The worker that the order was sent to, and the fence of the order. */
    readonly workerId: string;
    readonly fence: number;
  }
>('start-answered');

/** A stop order was answered, or its answer did not come in time. */
export const STOP_ANSWERED = createCommand<{
  readonly runKey: string;
  /** The incarnation that the order was meant for. */
  readonly incarnation: string;
  readonly term: number;
  /** The worker that the order was sent to, and the fence of the order. */
  readonly workerId: string;
  readonly fence: number;
  readonly outcome: 'stopped' | CallFailure;
}>('stop-answered');

/** Reported ends of a worker up to a number were applied to the state. */
export const ENDS_APPLIED = createCommand<{
  readonly incarnation: string;
  readonly upTo: number;
}>('ends-taken');

/** The effects of reported ends of a worker up to a number are durable. */
export const ENDS_DURABLE = createCommand<{
  readonly incarnation: string;
  readonly upTo: number;
}>('ends-recorded');

/** A worker reported the end of a run. */
export const RUN_ENDED = createCommand<{
  readonly incarnation: string;
  readonly runId: RunId;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
  /** Time since its start by this holder; undefined for one that it did not start. */
  readonly ranMillis: number | undefined;
}>('run-ended');

/** A run was discarded: it can't be running, and no end was reported. */
export const RUN_DISCARDED = createCommand<{
  readonly incarnation: string;
  readonly runId: RunId;
  readonly checkpoint: string;
  readonly reason: StartRefusal | 'missing' | 'worker-gone' | 'lapsed-silent';
}>('run-void');

/** The process of a worker crashed. Its runs are discarded afterwards. */
export const WORKER_CRASHED = createCommand<{
  readonly incarnation: string;
  /** The runs that began shortly before, one of which may have caused it. */
  readonly suspects: readonly RunId[];
  /** Number of runs that may have begun shortly before. */
  readonly unanswered: number;
}>('worker-crashed');

/** A worker confirmed to this holder for the first time that a run started. */
export const RUN_CONFIRMED = createCommand<{readonly runId: RunId}>(
  'run-confirmed',
);

/** The start orders of a run were not confirmed, and the run is stopped. */
export const START_GIVEN_UP = createCommand<{
  readonly runId: RunId;
  readonly incarnation: string;
  readonly reason:
    RejectedStartReason | 'no-answer' | 'worker-gone' | 'unconfirmed-holding';
}>('start-given-up');

/** A worker reported a run that is not expected on it. */
export const UNEXPECTED_RUN_REPORTED = createCommand<{
  readonly incarnation: string;
  readonly run: ReportedRun;
}>('run-found');

/** The next life of a worker has a run that was meant for the one before. */
export const RUN_MOVED = createCommand<{
  readonly runId: RunId;
  readonly from: string;
  readonly to: string;
}>('run-moved');

/** Free resources or the set of workers changed. */
export const RESOURCES_CHANGED = createCommand<void>('room-changed');

/** Periodic tick: polls, lease expiries and stop orders may be due. */
export const FLEET_TICK = createCommand<void>('fleet-tick');

/**
 * Polls a worker: renews its lease, acknowledges ends and asks for a report.
 */
export const POLL_WORKER = createEffect<{
  readonly incarnation: string;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly fence: number;
  /** Number of the newest end that the worker may drop. */
  readonly acknowledgedEnd: number;
  /** Lease end on the worker's clock; undefined until its clock is known. */
  readonly leaseUntil: number | undefined;
  /** How long the worker may hold back its answer until a run ends. */
  readonly waitMillis: number;
  readonly timeoutMillis: number;
}>('hold-worker');

/** Sends a start order to a worker. */
export const ORDER_START = createEffect<{
  readonly order: StartOrder;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly fence: number;
  /** Lease end on the worker's clock. */
  readonly leaseUntil: number;
  readonly timeoutMillis: number;
}>('order-start');

/** Sends a stop order to a worker. */
export const ORDER_STOP = createEffect<{
  readonly runId: RunId;
  /** The incarnation that the order is meant for. */
  readonly incarnation: string;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly fence: number;
  readonly timeoutMillis: number;
}>('order-stop');

/** Logs a change of a worker or a run. */
export const FLEET_EVENT = createEffect<{
  readonly event: string;
  readonly worker: string;
  readonly subject?: string;
  readonly detail?: string;
  readonly millis?: number;
  /** Number of start orders sent for the run so far. */
  readonly orders?: number;
  /** The incarnation whose entry or answer decided. */
  readonly by?: string;
  /** Number of runs that are concerned. */
  readonly runs?: number;
  /** Number of ends that the answer lists. */
  readonly ends?: number;
  /** Latest lease end that it may have, in milliseconds of the worker's clock. */
  readonly leaseUntil?: number;
  /** The worker's clock in the newest answer, in milliseconds. */
  readonly workerClock?: number;
  /** What the clock of the life that a call was meant for shows now. */
  readonly expectedClock?: number;
}>('fleet-event');
