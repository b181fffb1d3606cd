import {createRandom} from '../seededRandom';
import {buildPolicy} from './jobFixture';
import type {ModelSiteOptions} from './ModelHost';
import {ModelSite} from './ModelSite';

/** Builds a model site on which tasks take as long as estimated and none fails. */
export function buildModelSite(
  overrides: Partial<ModelSiteOptions> = {},
): ModelSite {
  return new ModelSite({
    hosts: 2,
    workers: 2,
    capacity: {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0},
    random: createRandom(1),
    policies: [buildPolicy()],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      fails: () => false,
    }),
    ...overrides,
  });
}
