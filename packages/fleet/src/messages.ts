import {createCommand, createEffect} from '@samphireramp/kernel';
import type {RunPlace} from '@samphireramp/jobs';
import type {StartOrder, StartRefusal} from './Run';
import type {EndKind, WorkerRecord} from './Worker';

/** A run that a worker lists as there. */
export interface ListedRun {
  readonly place: RunPlace;
  readonly checkpoint: string;
  readonly percent: number;
}

/** An end that a worker lists. */
export interface ListedEnd {
  readonly number: number;
  readonly place: RunPlace;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** What a worker answers to a hold. */
export interface Listing {
  readonly clockMillis: number;
  /** The life that answered. */
  readonly life: string;
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
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
export const WORKERS_LISTED = createCommand<{
  readonly records: readonly WorkerRecord[];
  /** Ids that left the list. */
  readonly removed: readonly string[];
  /** Whether `records` is the whole list. */
  readonly isWhole: boolean;
}>('workers-listed');

/** A worker answered a hold. */
export const WORKER_HELD = createCommand<{
  readonly life: string;
  readonly term: number;
  readonly sentAt: number;
  readonly listing: Listing;
}>('worker-held');

/** A hold brought nothing. */
export const HOLD_FAILED = createCommand<{
  readonly life: string;
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
export const ENDS_TAKEN = createCommand<{
  readonly life: string;
  readonly upTo: number;
}>('ends-taken');

/** Ends of a worker up to a number are durable. */
export const ENDS_RECORDED = createCommand<{
  readonly life: string;
  readonly upTo: number;
}>('ends-recorded');

/** A run came to its end at its worker. */
export const RUN_ENDED = createCommand<{
  readonly life: string;
  readonly place: RunPlace;
  readonly how: EndKind;
  readonly checkpoint: string;
  /** How long it was seen to run; undefined if it was never seen. */
  readonly ranMillis: number | undefined;
}>('run-ended');

/** A run surely is not there, without an end that tells how. */
export const RUN_VOID = createCommand<{
  readonly life: string;
  readonly place: RunPlace;
  readonly checkpoint: string;
  readonly reason: StartRefusal | 'missing' | 'worker-gone' | 'lapsed-silent';
}>('run-void');

/** A worker confirms a run. */
export const RUN_CONFIRMED = createCommand<{readonly place: RunPlace}>(
  'run-confirmed',
);

/** A worker lists a run that this holder did not order. */
export const RUN_FOUND = createCommand<{
  readonly life: string;
  readonly run: ListedRun;
}>('run-found');

/** Room or workers changed. */
export const ROOM_CHANGED = createCommand<void>('room-changed');

/** Time passed: holds, repeats and lapses may be due. */
export const FLEET_TICK = createCommand<void>('fleet-tick');

/** Asks a worker for what runs and ended, and renews its leases. */
export const HOLD_WORKER = createEffect<{
  readonly life: string;
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
  readonly place: RunPlace;
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
