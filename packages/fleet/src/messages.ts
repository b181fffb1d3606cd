import {createCommand, createEffect} from '@samphireramp/kernel';
import type {RunId} from '@samphireramp/jobs';
import type {StartOrder, StartRefusal} from './Run';
import type {RunOutcome, WorkerRecord} from './Worker';

/** A run that a worker lists as there. */
export interface ReportedRun {
  readonly runId: RunId;
  readonly checkpoint: string;
  readonly percent: number;
}

/** An end that a worker lists. */
export interface ReportedEnd {
  readonly number: number;
  readonly runId: RunId;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** What a worker answers to a hold. */
export interface WorkerReport {
  readonly clockMillis: number;
  /** The life that answered. */
  readonly incarnation: string;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly ReportedEnd[];
}

/** Why a call to a worker brought nothing. */
export type CallFailure =
  /** A newer holder commands the worker. */
  | 'fenced'
  /** Another life answers at its address. */
  | 'other-life'
  /** Nothing listens at its address. */
  | 'closed'
  | 'silent';

/** The list of workers changed. */
export const WORKER_REGISTRY_READ = createCommand<{
  readonly records: readonly WorkerRecord[];
  /** Ids that left the list. */
  readonly removed: readonly string[];
  /** Whether `records` is the whole list. */
  readonly isSnapshot: boolean;
}>('workers-listed');

/** A worker answered a hold. */
export const WORKER_REPORTED = createCommand<{
  readonly incarnation: string;
  readonly term: number;
  readonly sentAt: number;
  readonly report: WorkerReport;
}>('worker-held');

/** A hold brought nothing. */
export const POLL_FAILED = createCommand<{
  readonly incarnation: string;
  readonly term: number;
  readonly failure: CallFailure;
  readonly detail: string;
}>('hold-failed');

/** Orders a run that was reserved before. */
export const START_RUN = createCommand<StartOrder>('start-run');

/** A worker answered a start. */
export const START_ANSWERED = createCommand<{
  readonly order: StartOrder;
  readonly term: number;
  readonly outcome: 'started' | 'silent' | StartRefusal;
}>('start-answered');

/** A worker answered a stop. */
export const STOP_ANSWERED = createCommand<{
  readonly runKey: string;
  readonly term: number;
  readonly outcome: 'stopped' | CallFailure;
}>('stop-answered');

/** Ends of a worker up to a number were decided on. */
export const ENDS_APPLIED = createCommand<{
  readonly incarnation: string;
  readonly upTo: number;
}>('ends-taken');

/** Ends of a worker up to a number are durable. */
export const ENDS_DURABLE = createCommand<{
  readonly incarnation: string;
  readonly upTo: number;
}>('ends-recorded');

/** A run came to its end at its worker. */
export const RUN_ENDED = createCommand<{
  readonly incarnation: string;
  readonly runId: RunId;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
  /** How long it was seen to run; undefined if it was never seen. */
  readonly ranMillis: number | undefined;
}>('run-ended');

/** A run surely is not there, without an end that tells how. */
export const RUN_DISCARDED = createCommand<{
  readonly incarnation: string;
  readonly runId: RunId;
  readonly checkpoint: string;
  readonly reason: StartRefusal | 'missing' | 'worker-gone' | 'lapsed-silent';
}>('run-void');

/** A worker confirms a run. */
export const RUN_CONFIRMED = createCommand<{readonly runId: RunId}>(
  'run-confirmed',
);

/** A worker lists a run that this holder did not order. */
export const UNEXPECTED_RUN_REPORTED = createCommand<{
  readonly incarnation: string;
  readonly run: ReportedRun;
}>('run-found');

/** Room or workers changed. */
export const RESOURCES_CHANGED = createCommand<void>('room-changed');

/** Time passed: holds, repeats and lapses may be due. */
export const FLEET_TICK = createCommand<void>('fleet-tick');

/** Asks a worker for what runs and ended, and renews its leases. */
export const POLL_WORKER = createEffect<{
  readonly incarnation: string;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly ackedEnd: number;
  /** Lease end on the worker's clock; left out before its clock is known. */
  readonly until: number | undefined;
  readonly waitMillis: number;
  readonly timeoutMillis: number;
}>('hold-worker');

/** Tells a worker to start a run. */
export const ORDER_START = createEffect<{
  readonly order: StartOrder;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly until: number;
  readonly timeoutMillis: number;
}>('order-start');

/** Tells a worker to stop a run. */
export const ORDER_STOP = createEffect<{
  readonly runId: RunId;
  readonly id: string;
  readonly address: string;
  readonly term: number;
  readonly timeoutMillis: number;
}>('order-stop');

/** What changed about a worker or a run, for logs. */
export const FLEET_EVENT = createEffect<{
  readonly event: string;
  readonly worker: string;
  readonly subject?: string;
  readonly detail?: string;
  readonly millis?: number;
}>('fleet-event');
