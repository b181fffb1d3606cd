import type {Job} from '@samphireramp/jobs';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();

/** Builds a site on which three tasks that last run on three workers. */
export async function buildLastingSite(
  jobId: string,
): Promise<{site: ModelSite; job: Job}> {
  const site = buildModelSite({hosts: 3, workers: 3, policies: [POLICY]});
  await site.run(1000);
  const need = {cpuMillis: 2000, memoryMegabytes: 1000, accelerators: 0};
  const step = buildStep({count: 3, need, estimateMillis: 100_000});
  const job = buildJob(jobId, [step], {policy: POLICY, receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(3000);
  return {site, job};
}
