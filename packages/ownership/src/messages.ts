import {createCommand, createEffect} from '@samphireramp/kernel';
import type {
  Attempt,
  ExchangeAnswer,
  ExchangeRequest,
  InventoryEntry,
  StartOrder,
  StopOrder,
} from '@samphireramp/model';

/** Time to seek, renew or give up leases. */
export const LEASE_TICK = createCommand<void>('lease-tick');

/** A worker answered an exchange. Host times in monotonic milliseconds. */
export const WORKER_ANSWERED = createCommand<{
  readonly worker: string;
  readonly request: ExchangeRequest;
  readonly sentAt: number;
  readonly receivedAt: number;
  readonly answer: ExchangeAnswer;
}>('worker-answered');

/** A worker did not answer an exchange; what it did of it is unknown. */
export const WORKER_SILENT = createCommand<{
  readonly worker: string;
  readonly detail: string;
}>('worker-silent');

/** Orders for one worker. */
export interface WorkerOrders {
  readonly worker: string;
  readonly starts: ReadonlyArray<Omit<StartOrder, 'deadline'>>;
  readonly stops: readonly StopOrder[];
  readonly forgets: readonly Attempt[];
}

/** Sends orders with the worker's next exchange, which goes at once. */
export const SEND_ORDERS = createCommand<WorkerOrders>('send-orders');

/** This host now holds a shard, in a term of its own. */
export const SHARD_HELD = createCommand<{
  readonly shardId: string;
  readonly term: number;
}>('shard-held');

/** This host no longer holds a shard. */
export const SHARD_LOST = createCommand<{readonly shardId: string}>(
  'shard-lost',
);

/** What an answer tells about the attempts on a worker. */
export interface InventoryNews {
  readonly worker: string;
  readonly shardId: string;
  /** Worker clock of the answer. */
  readonly clock: number;
  /** Whether `entries` is all that the worker has. */
  readonly whole: boolean;
  /** Whether the worker lost all that ran before. */
  readonly restarted: boolean;
  readonly entries: readonly InventoryEntry[];
  readonly refused: ExchangeAnswer['refusedOrders'];
  readonly usage: ExchangeAnswer['usage'];
  readonly leaving: boolean;
}

/** An answer told something about the attempts on a worker. */
export const INVENTORY_LEARNT =
  createCommand<InventoryNews>('inventory-learnt');

/** Gives every lease back; the queue has been handed over. */
export const RELEASE_SHARDS = createCommand<void>('release-shards');

/** Sends an exchange, unless the host's clock is past `sendBefore`. */
export const EXCHANGE = createEffect<{
  readonly worker: string;
  readonly address: string;
  readonly sendBefore: number;
  readonly request: ExchangeRequest;
}>('exchange');
