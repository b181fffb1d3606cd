import * as z from 'zod/mini';
import {durabilitySchema, nameSchema} from './Declaration';

/** Between the home zone's name and the rest of a key. */
export const KEY_SEPARATOR = '~';

/** Names one request or job for ever; carried in every retry. */
export const keySchema = z
  .string()
  .check(z.regex(/^[A-Za-z0-9][A-Za-z0-9~._-]{0,127}$/));

/** What a caller sends for a service request. */
export const serviceRequestSchema = z.strictObject({
  key: z.optional(keySchema),
  workload: nameSchema,
  member: nameSchema,
  input: z.optional(z.unknown()),
});

/** What a caller sends for a service request. */
export type ServiceRequest = z.infer<typeof serviceRequestSchema>;

/** What a caller sends for a batch or an all-at-once job. */
export const jobRequestSchema = z.strictObject({
  key: z.optional(keySchema),
  workload: nameSchema,
  member: nameSchema,
  /** Tasks of the job. */
  tasks: z._default(z.int().check(z.minimum(1), z.maximum(10_000)), 1),
  input: z.optional(z.unknown()),
});

/** What a caller sends for a batch or an all-at-once job. */
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** Why work was refused before any of it ran. */
export const notRunReasonSchema = z.enum([
  'unknown-workload',
  'unknown-member',
  'not-allowed',
  'wrong-kind',
  'can-never-fit',
  'over-limit',
  'queue-full',
  'no-room',
  'deadline',
  'home-unreachable',
  'no-owner',
  'recovering',
  'stopping',
  'no-configuration',
  'key-reused',
  'not-durable',
  'cancelled',
]);

/** Why work was refused before any of it ran. */
export type NotRunReason = z.infer<typeof notRunReasonSchema>;

/** The answer to a service request. */
export const requestOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('answered'),
    key: z.string(),
    output: z.optional(z.unknown()),
  }),
  z.object({
    outcome: z.literal('not-run'),
    key: z.string(),
    reason: notRunReasonSchema,
    detail: z.string(),
  }),
  z.object({
    outcome: z.literal('unknown'),
    key: z.string(),
    detail: z.string(),
  }),
]);

/** The answer to a service request. */
export type RequestOutcome = z.infer<typeof requestOutcomeSchema>;

/** Where a job stands. */
export const jobStateSchema = z.enum([
  'queued',
  'running',
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
]);

/** Where a job stands. */
export type JobState = z.infer<typeof jobStateSchema>;

/** The status of a job as its caller sees it. */
export const jobStatusSchema = z.object({
  key: z.string(),
  workload: z.string(),
  state: jobStateSchema,
  durability: durabilitySchema,
  tasks: z.object({
    queued: z.int(),
    running: z.int(),
    succeeded: z.int(),
    failed: z.int(),
    unknown: z.int(),
  }),
  /** Why queued tasks wait; empty when none does. */
  waitingFor: z.string(),
});

/** The status of a job as its caller sees it. */
export type JobStatus = z.infer<typeof jobStatusSchema>;

/** The answer to submitting, asking after or cancelling a job. */
export const jobOutcomeSchema = z.discriminatedUnion('outcome', [
  z.object({outcome: z.literal('accepted'), status: jobStatusSchema}),
  z.object({
    outcome: z.literal('not-run'),
    key: z.string(),
    reason: notRunReasonSchema,
    detail: z.string(),
  }),
  z.object({
    outcome: z.literal('unknown'),
    key: z.string(),
    detail: z.string(),
  }),
  z.object({outcome: z.literal('no-such-job'), key: z.string()}),
]);

/** The answer to submitting, asking after or cancelling a job. */
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
