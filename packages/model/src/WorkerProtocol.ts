import * as z from 'zod/mini';
import {resourcesSchema} from './Resources';

/**
 * Messages of the workers' lease service. Clocks named "worker" are
 * milliseconds of that worker's own monotonic clock since its incarnation.
 */

const millis = z.number();
const attemptNumber = z.int().check(z.minimum(1));

/** One attempt of one task. */
export const attemptSchema = z.object({
  taskId: z.string(),
  attempt: attemptNumber,
});

/** One attempt of one task. */
export type Attempt = z.infer<typeof attemptSchema>;

/** Where an attempt stands on its worker. */
export const attemptStateSchema = z.enum([
  'running',
  'succeeded',
  'failed',
  'stopped',
]);

/** Where an attempt stands on its worker. */
export type AttemptState = z.infer<typeof attemptStateSchema>;

/** An order to start an attempt, refused after `deadline`. */
export const startOrderSchema = z.object({
  taskId: z.string(),
  attempt: attemptNumber,
  workload: z.string(),
  size: resourcesSchema,
  input: z.optional(z.unknown()),
  /** Worker clock. */
  deadline: millis,
});

/** An order to start an attempt. */
export type StartOrder = z.infer<typeof startOrderSchema>;

/** An order to end an attempt; a checkpoint keeps its progress. */
export const stopOrderSchema = z.object({
  taskId: z.string(),
  attempt: attemptNumber,
  mode: z.enum(['stop', 'checkpoint']),
});

/** An order to end an attempt. */
export type StopOrder = z.infer<typeof stopOrderSchema>;

/** What a holder last learnt of a worker's inventory. */
export const inventoryPositionSchema = z.object({
  incarnation: z.string(),
  revision: z.int(),
});

/** What a holder last learnt of a worker's inventory. */
export type InventoryPosition = z.infer<typeof inventoryPositionSchema>;

/** Asks for a worker's lease, renews it, and carries orders. */
export const exchangeRequestSchema = z.object({
  holder: z.string(),
  term: z.int(),
  leaseMillis: z.int(),
  taskLeaseMillis: z.int(),
  /** Worker clock; absent while the holder does not know that clock. */
  leaseUntil: z.optional(millis),
  /** Whose clock `leaseUntil` and the deadlines of the orders are on. */
  incarnation: z.optional(z.string()),
  /** Gives the lease back. */
  release: z._default(z.boolean(), false),
  known: z.optional(inventoryPositionSchema),
  starts: z._default(z.array(startOrderSchema), []),
  stops: z._default(z.array(stopOrderSchema), []),
  /** Ended attempts that the holder has recorded. */
  forgets: z._default(z.array(attemptSchema), []),
});

/** Asks for a worker's lease, renews it, and carries orders. */
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

/** One line of a worker's inventory. */
export const inventoryEntrySchema = z.object({
  /** Requests are listed in whole inventories only, while they run. */
  kind: z.enum(['task', 'request']),
  taskId: z.string(),
  attempt: attemptNumber,
  state: attemptStateSchema,
  workload: z.string(),
  size: resourcesSchema,
});

/** One line of a worker's inventory. */
export type InventoryEntry = z.infer<typeof inventoryEntrySchema>;

/** Why a worker refuses an exchange or an order. */
export const refusalSchema = z.enum([
  'older-term',
  'held',
  'late',
  'leaving',
  'no-room',
  'no-lease',
]);

/** Why a worker refuses an exchange or an order. */
export type Refusal = z.infer<typeof refusalSchema>;

/** An order that the worker did not carry out. */
export const orderRefusalSchema = z.object({
  taskId: z.string(),
  attempt: attemptNumber,
  reason: refusalSchema,
});

/** A worker's answer to an exchange. */
export const exchangeAnswerSchema = z.object({
  worker: z.string(),
  incarnation: z.string(),
  /** Worker clock when it answered. */
  clock: millis,
  refusal: z.optional(refusalSchema),
  highestTerm: z.int(),
  /** Milliseconds until another holder may get the lease. */
  leaseRemainingMillis: millis,
  leaving: z.boolean(),
  revision: z.int(),
  /** Whether `inventory` is all there is, or changes since `known`. */
  inventoryIsWhole: z.boolean(),
  inventory: z.array(inventoryEntrySchema),
  refusedOrders: z.array(orderRefusalSchema),
  /** Measured some time ago, by everything on the worker. */
  usage: z.object({
    processors: z.number(),
    memoryMegabytes: z.number(),
    ageMillis: millis,
  }),
});

/** A worker's answer to an exchange. */
export type ExchangeAnswer = z.infer<typeof exchangeAnswerSchema>;

/** One request of a caller, for a worker to answer whole. */
export const executeRequestSchema = z.object({
  requestId: z.string(),
  attempt: attemptNumber,
  holder: z.string(),
  term: z.int(),
  incarnation: z.string(),
  /** Worker clock after which the worker must not begin. */
  deadline: millis,
  /** Worker clock at which the worker breaks off what still runs. */
  endBy: millis,
  workload: z.string(),
  size: resourcesSchema,
  input: z.optional(z.unknown()),
});

/** One request of a caller, for a worker to answer whole. */
export type ExecuteRequest = z.infer<typeof executeRequestSchema>;

/** A worker's answer to one request. */
export const executeAnswerSchema = z.object({
  requestId: z.string(),
  attempt: attemptNumber,
  refusal: z.optional(refusalSchema),
  output: z.optional(z.unknown()),
});

/** A worker's answer to one request. */
export type ExecuteAnswer = z.infer<typeof executeAnswerSchema>;
