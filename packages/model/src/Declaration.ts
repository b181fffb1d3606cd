import * as z from 'zod/mini';
import {partSchema, quotaSchema, resourcesSchema} from './Resources';

/** The version of the declaration format that this build reads. */
export const DECLARATION_VERSION = 1;

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** Lower-case letters, digits and hyphens, starting with a letter. */
export const nameSchema = z.string().check(z.regex(NAME_PATTERN));

const positiveMillis = z.int().check(z.minimum(1), z.maximum(86_400_000 * 30));
const share = z._default(z.number().check(z.gt(0), z.maximum(1_000_000)), 1);
const fraction = z.number().check(z.minimum(0), z.maximum(1));

/** An availability zone and its region. */
export const zoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

/** A worker: where it is, how it is reached, what it has. */
export const workerSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  rack: nameSchema,
  /** Internet protocol address and port of the worker's lease service. */
  address: z
    .string()
    .check(z.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/)),
  capacity: resourcesSchema,
  /** What the older scheduler owns of this worker. */
  olderScheduler: z.optional(partSchema),
});

/** A declared worker. */
export type WorkerDeclaration = z.infer<typeof workerSchema>;

/** A member of a team. */
export const memberSchema = z.strictObject({
  name: nameSchema,
  share,
  /** Open requests and queued jobs allowed at once. */
  maximumOpen: z._default(z.int().check(z.minimum(1)), 1000),
});

/** A team: its share of the site, its quota and its members. */
export const teamSchema = z.strictObject({
  name: nameSchema,
  share,
  /** Most that the team may hold at once over the whole site. */
  quota: z.optional(quotaSchema),
  members: z.array(memberSchema).check(z.minLength(1)),
});

/** A declared team. */
export type TeamDeclaration = z.infer<typeof teamSchema>;

/** Parameters of the scheduling policy of one kind of work. */
export const policySchema = z.strictObject({
  name: nameSchema,
  /** Part of each shard's slots that only urgent work may take. */
  urgentReserve: z._default(fraction, 0.1),
  /** Part of each shard's slots that long work may not take. */
  shortReserve: z._default(fraction, 0.2),
  /** Work expected to run longer than this counts as long. */
  longAfterMillis: z._default(positiveMillis, 60_000),
  /** Jobs that may wait in one shard. */
  maximumQueued: z._default(z.int().check(z.minimum(1)), 10_000),
});

/** A declared policy. */
export type PolicyDeclaration = z.infer<typeof policySchema>;

/** The kinds of work. */
export const workloadKindSchema = z.enum(['service', 'batch', 'all-at-once']);

/** The kinds of work. */
export type WorkloadKind = z.infer<typeof workloadKindSchema>;

/** How safe accepted work is before the caller is answered. */
export const durabilitySchema = z.enum(['memory', 'two-hosts', 'store']);

/** How safe accepted work is before the caller is answered. */
export type Durability = z.infer<typeof durabilitySchema>;

/** A workload: what its work needs and how it is treated. */
export const workloadSchema = z.strictObject({
  name: nameSchema,
  kind: workloadKindSchema,
  /** Teams that may use it. */
  teams: z.array(nameSchema).check(z.minLength(1)),
  policy: nameSchema,
  /** What one request or one task needs. */
  size: resourcesSchema,
  urgent: z._default(z.boolean(), false),
  /** Whether doing it twice does no harm. */
  idempotent: z._default(z.boolean(), false),
  durability: z._default(durabilitySchema, 'two-hosts'),
  /** A request is given up, and a job counted late, after this long. */
  deadlineMillis: positiveMillis,
  expectedRunMillis: positiveMillis,
  /** Attempts of one task at the most. */
  maximumAttempts: z._default(z.int().check(z.minimum(1), z.maximum(100)), 3),
});

/** A declared workload. */
export type WorkloadDeclaration = z.infer<typeof workloadSchema>;

/** Times and sizes of the control protocol. */
export const controlSchema = z.strictObject({
  leaseMillis: z._default(positiveMillis, 3000),
  renewMillis: z._default(positiveMillis, 1000),
  /** How long a worker goes on with tasks that nobody renews. */
  taskLeaseMillis: z._default(positiveMillis, 10_000),
  workersInShard: z._default(z.int().check(z.minimum(1), z.maximum(500)), 50),
});

/** Times and sizes of the control protocol. */
export type ControlDeclaration = z.infer<typeof controlSchema>;

/** The whole declaration of a site, applied as one. */
export const declarationSchema = z.strictObject({
  version: z.literal(DECLARATION_VERSION),
  site: nameSchema,
  zones: z.array(zoneSchema).check(z.minLength(1)),
  workers: z.array(workerSchema),
  teams: z.array(teamSchema).check(z.minLength(1)),
  policies: z.array(policySchema).check(z.minLength(1)),
  workloads: z.array(workloadSchema),
  control: z.prefault(controlSchema, {}),
});

/** The whole declaration of a site. */
export type Declaration = z.infer<typeof declarationSchema>;
