import * as z from 'zod/mini';
import {queuePolicySchema} from './Queue';
import {type Resources, resourcesSchema} from './Resources';

/** Maximum number of tasks of a step. */
export const MAX_TASKS_PER_STEP = 10_000;

/** Definition of a step: a number of identical tasks of a job. */
export const stepSchema = z.object({
  /** Number of tasks. */
  count: z.int().check(z.positive(), z.maximum(MAX_TASKS_PER_STEP)),
  /** Resources that each task needs. */
  need: resourcesSchema,
  /** The caller's estimate of the run time of one task, in milliseconds. */
  estimateMillis: z.number(),
  /** Numbers of the steps that must be done before this one starts. */
  after: z.array(z.number()),
  savesCheckpoints: z.boolean(),
  /** All tasks are started together or not at all. */
  isGang: z.boolean(),
  /** The tasks of a gang run faster if all are on one rack. */
  prefersOneRack: z.boolean(),
  /** Label that a worker must have; empty for none. */
  requiredLabel: z.string(),
  /** Rack that stores the input data; empty for none. */
  dataRack: z.string(),
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  mostOnOneWorker: z.number(),
  /** Speculative copies of a task may run in parallel. */
  allowsCopies: z.boolean(),
  /** Runs until the job is cancelled. */
  isService: z.boolean(),
  /** Uses CPU time that other tasks leave idle; no CPU is reserved for it. */
  usesLeftovers: z.boolean(),
});

/** A job as submitted, with the policy that its queue had at that time. */
export const jobSchema = z.object({
  id: z.string(),
  policy: queuePolicySchema,
  /** Name of the client account that handed it in; empty for none. */
  account: z._default(z.string(), ''),
  /** Opaque to the scheduler; passed unchanged to each task. */
  input: z.string(),
  steps: z.array(stepSchema),
  /** Number of times that all steps are executed. */
  occurrences: z.number(),
  /** Due time of occurrence 0, milliseconds since 1970; 0 for immediately. */
  firstDueAt: z.number(),
  /** Milliseconds between two occurrences. */
  intervalMillis: z.number(),
  /** Wall-clock milliseconds at which a host received the job. */
  receivedAt: z.number(),
});

/**
 * State of a job as reported to callers. A job is queued until a worker has
 * confirmed the start of one of its tasks.
 */
export const jobStateSchema = z.enum([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** Definition of a step: a number of identical tasks of a job. */
export type Step = z.infer<typeof stepSchema>;
/** A job as submitted. */
export type Job = z.infer<typeof jobSchema>;
/** State of a job as reported to callers. */
export type JobState = z.infer<typeof jobStateSchema>;

/** Whether a job in this state is over. */
export function isFinalState(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

/**
 * When an occurrence is due, in milliseconds since 1970. A job without a start
 * time is always due. `receivedAt` isn't used for it, as the clocks of hosts
 * differ.
 */
export function occurrenceDueAt(job: Job, occurrence: number): number {
  return job.firstDueAt === 0
    ? 0
    : job.firstDueAt + occurrence * job.intervalMillis;
}

/** Resources that are reserved on a worker for one task of a step. */
export function reservedResources(step: Step): Resources {
  return step.usesLeftovers ? {...step.need, cpuMillis: 0} : step.need;
}

/**
 * Milliseconds of the longest chain of dependent steps, by the estimates of the
 * caller unless `millisOf` tells otherwise. Steps depend only on steps with lower
 * numbers.
 */
export function criticalPathMillis(
  job: Job,
  millisOf = (stepNumber: number) => job.steps[stepNumber].estimateMillis,
): number {
  const endMillisByStep: number[] = [];
  job.steps.forEach((step, stepNumber) => {
    const startMillis = maximumOf(
      step.after.map(number => endMillisByStep[number] ?? 0),
    );
    endMillisByStep.push(startMillis + millisOf(stepNumber));
  });
  return maximumOf(endMillisByStep);
}

/** The maximum of durations, of which there may be too many for `Math.max`. */
function maximumOf(durations: readonly number[]): number {
  return durations.reduce((maximum, each) => Math.max(maximum, each), 0);
}
