/** Sites with gangs, and jobs of a queue behind theirs that must not wait for long. */
import type {Job, QueuePolicy, Step} from '@samphireramp/jobs';
import {
  type ModelSite,
  type ModelSiteOptions,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

/** The queue of the gangs. */
export const GANGS = buildPolicy({name: 'gangs', priority: 1});
/** The same with an adviser. */
export const ADVISED_GANGS = buildPolicy({
  name: 'advised-gangs',
  priority: 1,
  advice: {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 1000},
});
/** The queue behind the gangs. */
export const OTHERS = buildPolicy({name: 'others', priority: 2});
/** The rule: a job has nothing running for less than this while most of the site is free. */
export const IDLE_LIMIT_MILLIS = 3000;
/** By when the workers are known. */
const SETTLING_MILLIS = 2000;

/** Builds a site of empty workers; runs of the jobs named take another time than estimated. */
export async function buildGangSite(
  options: Partial<ModelSiteOptions>,
  actualMillis: Readonly<Record<string, number>> = {},
): Promise<ModelSite> {
  const site = buildModelSite({
    policies: [GANGS, ADVISED_GANGS, OTHERS],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: actualMillis[job.id] ?? job.steps[runId.step].estimateMillis,
      fails: () => false,
    }),
    ...options,
  });
  await site.run(SETTLING_MILLIS);
  return site;
}

/** Submits a job of one step; `overrides` replaces other fields of the job. */
export function submitStep(
  site: ModelSite,
  id: string,
  policy: QueuePolicy,
  step: Partial<Step>,
  overrides: Partial<Job> = {},
): void {
  const receivedAt = site.clock.now;
  const options = {policy, receivedAt, ...overrides};
  void site.submit(site.hosts[0], buildJob(id, [buildStep(step)], options));
}
