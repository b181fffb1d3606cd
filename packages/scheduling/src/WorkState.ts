import {
  createIndexedTableSlice,
  createTableSlice,
  type Update,
} from '@samphireramp/kernel';
import {
  type ResourceVector,
  NO_RESOURCES,
  addResources,
  executeRequestSchema,
  inventoryEntrySchema,
  jobRecordSchema,
  requestRecordSchema,
  resourceVectorSchema,
  taskRecordSchema,
} from '@samphireramp/model';
import type {InventoryNews} from '@samphireramp/ownership';
import * as z from 'zod/mini';

/** A job of a held shard. */
export const jobRowSchema = z.extend(jobRecordSchema, {
  /** Tasks that have not ended. */
  open: z.int(),
  /** Whether it is kept as safely as declared, and so was accepted. */
  isSecured: z.boolean(),
  queuedAt: z.number(),
});

/** A job of a held shard. */
export type JobRow = z.infer<typeof jobRowSchema>;

/** A task of a held shard. */
export const taskRowSchema = z.extend(taskRecordSchema, {
  shardId: z.string(),
  queuedAt: z.number(),
  /** Room that the latest attempt holds on its worker. */
  held: z.optional(resourceVectorSchema),
  /** Attempts that failed or were lost; refused ones do not count. */
  failures: z.int(),
  startedAt: z.optional(z.number()),
  /** Worker clock after which an order that was not seen can't take effect. */
  startDeadline: z.optional(z.number()),
  /** Brought back by recovery, and not yet known to run or not to run. */
  isUnsettled: z.boolean(),
});

/** A task of a held shard. */
export type TaskRow = z.infer<typeof taskRowSchema>;

/** A service request that this host has to answer. */
export const openRequestSchema = z.object({
  callId: z.string(),
  key: z.string(),
  shardId: z.string(),
  workload: z.string(),
  team: z.string(),
  member: z.string(),
  state: z.enum(['securing', 'queued', 'executing', 'pausing']),
  attempt: z.int(),
  input: z.optional(z.unknown()),
  queuedAt: z.number(),
  deadline: z.number(),
  worker: z.optional(z.string()),
  /** Room that the latest attempt holds on its worker. */
  held: z.optional(resourceVectorSchema),
  /** Whether an attempt was sent whose outcome is not known. */
  isInDoubt: z.boolean(),
  /** What was sent, for sending it again under the same number. */
  sent: z.optional(executeRequestSchema),
  resends: z.int(),
  /** When the pause before the next send or attempt is over. */
  resendAt: z.optional(z.number()),
  /** Other calls that wait for the same key. */
  followers: z.array(z.string()),
});

/** A service request that this host has to answer. */
export type OpenRequest = z.infer<typeof openRequestSchema>;

/** Room that stays taken until a time, or until a worker says more. */
export interface Lingering {
  readonly id: string;
  readonly shardId: string;
  readonly worker: string;
  readonly team: string;
  readonly need: ResourceVector;
  readonly until: number;
}

/** An attempt that runs though no record tells of its task. */
export const orphanSchema = z.object({
  worker: z.string(),
  shardId: z.string(),
  entry: inventoryEntrySchema,
  need: resourceVectorSchema,
});

/** An attempt that runs though no record tells of its task. */
export type Orphan = z.infer<typeof orphanSchema>;

/** A stop order that has to be sent until it took effect. */
export const stoppingSchema = z.object({
  taskId: z.string(),
  resendAt: z.number(),
});

/** A stop order that has to be sent until it took effect. */
export type Stopping = z.infer<typeof stoppingSchema>;

/** Ended work that is forgotten at a time. */
export const endedSchema = z.object({
  key: z.string(),
  shardId: z.string(),
  forgetAt: z.number(),
});

/** Ended work that is forgotten at a time. */
export type Ended = z.infer<typeof endedSchema>;

/** What a team holds in a shard. */
export interface TeamUsage {
  readonly shardId: string;
  readonly team: string;
  readonly held: ResourceVector;
}

/** Whether the accepted work of a held shard is known. */
export interface ShardWork {
  readonly shardId: string;
  readonly isRecovered: boolean;
  /** Whether no copy of accepted work is left to be heard. */
  readonly isComplete: boolean;
  /** Whether the log was read, which work of durability store rests on. */
  readonly isLogRead: boolean;
  /** No attempt of an earlier term runs unseen after this host time. */
  readonly settledAt: number;
  readonly isSettled: boolean;
  /** Inventories that came before the accepted work was known. */
  readonly earlyNews: readonly InventoryNews[];
}

/** Jobs by key; those with open tasks are found by their member. */
export const JOBS = createIndexedTableSlice<JobRow>('jobs', job =>
  job.open > 0 ? job.member : undefined,
);

/** Tasks by identifier; those that hold room are found by their worker. */
export const TASKS = createIndexedTableSlice<TaskRow>('tasks', task =>
  task.held === undefined ? undefined : task.worker,
);

/** Open requests by their call, found by their key. */
export const OPEN_REQUESTS = createIndexedTableSlice<OpenRequest>(
  'open-requests',
  request => request.key,
);

export const LINGERING = createTableSlice<Lingering>('lingering');
export const REQUEST_RECORDS =
  createTableSlice<z.infer<typeof requestRecordSchema>>('request-records');
export const STOPPING = createTableSlice<Stopping>('stopping');
export const ENDED = createTableSlice<Ended>('ended');
export const ORPHANS = createTableSlice<Orphan>('orphans');
export const TEAM_USAGE = createTableSlice<TeamUsage>('team-usage');
export const SHARD_WORK = createTableSlice<ShardWork>('shard-work');

/** Adds to what a team holds in a shard. */
export function changeUsage(
  update: Update,
  shardId: string,
  team: string,
  need: ResourceVector,
  factor: 1 | -1,
): void {
  const id = usageId(shardId, team);
  const usage = update.write(TEAM_USAGE);
  const held = usage.get(id)?.held ?? NO_RESOURCES;
  usage.set(id, {shardId, team, held: addResources(held, need, factor)});
}

/** Names the usage row of a team in a shard. */
export function usageId(shardId: string, team: string): string {
  return `${shardId} ${team}`;
}
