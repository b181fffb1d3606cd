import * as z from 'zod/mini';
import {durabilitySchema, workloadKindSchema} from './Declaration';
import {requestOutcomeSchema} from './CallerProtocol';

/** Where a task stands. */
export const taskStateSchema = z.enum([
  'queued',
  'starting',
  'running',
  'stopping',
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
]);

/** Where a task stands. */
export type TaskState = z.infer<typeof taskStateSchema>;

/** A task of a job. */
export const taskRecordSchema = z.object({
  taskId: z.string(),
  jobKey: z.string(),
  state: taskStateSchema,
  /** Number of the latest attempt; 0 before the first. */
  attempt: z.int(),
  /** Worker of the latest attempt. */
  worker: z.optional(z.string()),
});

/** A task of a job. */
export type TaskRecord = z.infer<typeof taskRecordSchema>;

/** An accepted job. */
export const jobRecordSchema = z.object({
  key: z.string(),
  shardId: z.string(),
  workload: z.string(),
  kind: workloadKindSchema,
  team: z.string(),
  member: z.string(),
  tasks: z.int(),
  input: z.optional(z.unknown()),
  /** Milliseconds since 1970. */
  acceptedAt: z.number(),
  cancelled: z.boolean(),
  durability: durabilitySchema,
});

/** An accepted job. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** A non-idempotent request: known before it runs, answered once. */
export const requestRecordSchema = z.object({
  key: z.string(),
  shardId: z.string(),
  workload: z.string(),
  outcome: z.optional(requestOutcomeSchema),
});

/** A non-idempotent request: known before it runs, answered once. */
export type RequestRecord = z.infer<typeof requestRecordSchema>;

/** A change of accepted work, as the journal and the second host keep it. */
export const workChangeSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('job'), job: jobRecordSchema}),
  z.object({
    type: z.literal('task'),
    shardId: z.string(),
    task: taskRecordSchema,
  }),
  z.object({type: z.literal('request'), request: requestRecordSchema}),
  z.object({type: z.literal('forget'), shardId: z.string(), key: z.string()}),
]);

/** A change of accepted work, as the journal and the second host keep it. */
export type WorkChange = z.infer<typeof workChangeSchema>;

/** The shard that a change belongs to. */
export function shardOfChange(change: WorkChange): string {
  switch (change.type) {
    case 'job':
      return change.job.shardId;
    case 'request':
      return change.request.shardId;
    case 'task':
    case 'forget':
      return change.shardId;
    default:
      return change satisfies never;
  }
}
