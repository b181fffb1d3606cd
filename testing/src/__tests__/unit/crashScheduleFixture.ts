import {type Job, isFinalState} from '@samphireramp/jobs';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

const POLICY = buildPolicy();
/** Duration of a task that would crash its worker if it didn't crash it. */
const CRASHING_TASK_MILLIS = 4000;
/** Jobs are submitted during this time. */
const SUBMIT_MILLIS = 15_000;
/** Time until all jobs must be over. */
const SCHEDULE_MILLIS = 110_000;
/** Longest delay of an order whose answer is lost. */
const MAX_ORDER_DELAY_MILLIS = 6000;

/** What a schedule of tasks that crash their workers varies. */
export interface CrashScheduleOptions {
  /** Time from the start of a run to the crash; undefined for a random one. */
  readonly crashMillis?: number | undefined;
  /** Share of the answers to orders that are lost. */
  readonly lostAnswerShare?: number;
  /** Whether the tasks that crash their workers are members of gangs. */
  readonly areGangs?: boolean;
}

/** What a schedule led to. */
export interface CrashScheduleReport {
  readonly violations: readonly string[];
  readonly errors: readonly unknown[];
  /** Jobs that are not in the state that they must end in, as texts. */
  readonly unexpected: readonly string[];
  /** Greatest number of workers that a job crashed. */
  readonly mostCrashes: number;
  readonly site: ModelSite;
}

/**
 * Runs a schedule of 6 jobs of which one task crashes each worker that starts it,
 * beside 20 jobs that crash none, on 10 workers. The seed determines it.
 */
export async function runCrashSchedule(
  seed: number,
  {crashMillis, lostAnswerShare = 0, areGangs = false}: CrashScheduleOptions,
): Promise<CrashScheduleReport> {
  const random = createRandom(seed);
  const between = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const crashing = Array.from({length: 6}, (_, index) =>
    buildJob(
      `c${String(index).padStart(15, '0')}`,
      [
        buildStep({
          count: areGangs ? 3 : 2,
          isGang: areGangs,
          estimateMillis: CRASHING_TASK_MILLIS,
        }),
      ],
      {policy: POLICY, receivedAt: 1000},
    ),
  );
  const others = Array.from({length: 20}, (_, index) =>
    buildJob(
      `d${String(index).padStart(15, '0')}`,
      [buildStep({count: 5, estimateMillis: between(500, 4000)})],
      {policy: POLICY, receivedAt: 1000},
    ),
  );
  const crashingIds = new Set(crashing.map(({id}) => id));
  const site = buildModelSite({
    workers: 10,
    random,
    policies: [POLICY],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      crashMillis:
        crashingIds.has(job.id) && runId.index === 0
          ? (crashMillis ?? between(10, CRASHING_TASK_MILLIS - 100))
          : undefined,
      fails: () => false,
    }),
    faultState: {
      losesOrderAnswer: () => random() < lostAnswerShare,
      orderDelayMillis: () =>
        random() < 0.3 ? 0 : between(500, MAX_ORDER_DELAY_MILLIS),
    },
  });
  const jobs = [...crashing, ...others];
  for (const job of jobs) {
    const submitAt = between(1000, SUBMIT_MILLIS);
    site.clock.after(submitAt, () => void site.submit(site.hosts[0], job));
  }
  const stateOf = (job: Job) => site.readJobState(site.hosts[0], job.id);
  const isOver = (job: Job) => {
    const state = stateOf(job);
    return state !== 'absent' && state !== 'unsure' && isFinalState(state);
  };
  await site.run(SUBMIT_MILLIS);
  while (site.clock.now < SCHEDULE_MILLIS && !jobs.every(isOver)) {
    await site.run(1000);
  }
  const expected = (job: Job) =>
    crashingIds.has(job.id) ? 'failed' : 'completed';
  return {
    violations: site.checker.violations,
    errors: site.errors,
    unexpected: jobs
      .filter(job => stateOf(job) !== expected(job))
      .map(job => `${job.id} is ${stateOf(job)}, not ${expected(job)}`),
    mostCrashes: Math.max(
      ...crashing.map(({id}) => site.checker.crashes.countCaused(id)),
    ),
    site,
  };
}
