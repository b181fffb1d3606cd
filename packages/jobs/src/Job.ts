import * as z from 'zod/mini';
import {queuePolicySchema} from './Queue';

/** Amounts that a task takes or a worker has. */
export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cpuMillis: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});

/** Like tasks of a job. */
export const stepSchema = z.object({
  count: z.number(),
  need: resourcesSchema,
  /** The caller's rough estimate of how long a task runs, in milliseconds. */
  estimateMillis: z.number(),
  /** Steps, by number, whose tasks must all be done first. */
  after: z.array(z.number()),
  savesCheckpoints: z.boolean(),
  /** All tasks work at the same time or not at all. */
  isGang: z.boolean(),
  /** Tasks of one run work faster on one rack. */
  prefersOneRack: z.boolean(),
  /** Label that a worker must have; empty for none. */
  requiredLabel: z.string(),
  /** Rack where the data lies; empty for none. */
  dataRack: z.string(),
  /** Most tasks of the step on one worker; 0 for no limit. */
  mostOnOneWorker: z.number(),
  /** Copies may run side by side. */
  allowsCopies: z.boolean(),
  /** Runs until the job is cancelled. */
  isService: z.boolean(),
  /** Runs on what the others leave; its processor share is not counted. */
  usesLeftovers: z.boolean(),
});

/** A job as its caller handed it in, with the policy of its queue then. */
export const jobSchema = z.object({
  id: z.string(),
  policy: queuePolicySchema,
  /** Handed to each task as it is. */
  input: z.string(),
  steps: z.array(stepSchema),
  /** How many times the steps run. */
  occurrences: z.number(),
  /** When occurrence 0 is due, in milliseconds since 1970; 0 for at once. */
  firstDueAt: z.number(),
  /** Milliseconds between two occurrences. */
  intervalMillis: z.number(),
  /** Wall-clock milliseconds at which a host took it in. */
  receivedAt: z.number(),
});

/** States of a job as callers see it. */
export const jobStateSchema = z.enum([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** Amounts that a task takes or a worker has. */
export type Resources = z.infer<typeof resourcesSchema>;
/** Like tasks of a job. */
export type Step = z.infer<typeof stepSchema>;
/** A job as its caller handed it in. */
export type Job = z.infer<typeof jobSchema>;
/** States of a job as callers see it. */
export type JobState = z.infer<typeof jobStateSchema>;

/** Nothing. */
export const NO_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/** Whether no more work is done for a job in this state. */
export function isFinal(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

/**
 * When an occurrence is due, in milliseconds since 1970. A job without times is
 * always due: hosts' clocks differ, so when it was handed in tells nothing here.
 */
export function dueAt(job: Job, occurrence: number): number {
  return job.firstDueAt === 0
    ? 0
    : job.firstDueAt + occurrence * job.intervalMillis;
}

/** What a task takes of its worker's room. */
export function reservedResources(step: Step): Resources {
  return step.usesLeftovers ? {...step.need, cpuMillis: 0} : step.need;
}

/** Estimated milliseconds of the longest chain of steps from `first` on. */
export function criticalPathMillis(job: Job): number {
  const ends: number[] = [];
  for (const step of job.steps) {
    const start = Math.max(0, ...step.after.map(number => ends[number] ?? 0));
    ends.push(start + step.estimateMillis);
  }
  return Math.max(0, ...ends);
}
