import {
  type Job,
  NO_RESOURCES,
  type QueuePolicy,
  type SiteConfiguration,
  type Step,
} from '@samphireramp/jobs';

/** A step of one small task; fields can be replaced. */
export function buildStep(change: Partial<Step> = {}): Step {
  return {
    count: 1,
    need: {...NO_RESOURCES, cpuMillis: 1000, memoryMegabytes: 1000},
    estimateMillis: 500,
    after: [],
    savesCheckpoints: false,
    isGang: false,
    prefersOneRack: false,
    requiredLabel: '',
    dataRack: '',
    mostOnOneWorker: 0,
    allowsCopies: false,
    isService: false,
    usesLeftovers: false,
    ...change,
  };
}

/** A queue of ordinary priority; fields can be replaced. */
export function buildPolicy(change: Partial<QueuePolicy> = {}): QueuePolicy {
  return {
    name: 'queue',
    pool: 'pool',
    priority: 1,
    maxAttempts: 3,
    stretch: 2,
    targetMillis: 1000,
    ...change,
  };
}

/** A job of the given steps; other fields can be replaced. */
export function buildJob(
  id: string,
  steps: readonly Step[],
  change: Partial<Job> = {},
): Job {
  return {
    id,
    policy: buildPolicy(),
    input: `input of ${id}`,
    steps: [...steps],
    occurrences: 1,
    firstDueAt: 0,
    intervalMillis: 0,
    receivedAt: 0,
    ...change,
  };
}

/** A configuration with a route to each queue. */
export function buildConfiguration(
  policies: readonly QueuePolicy[],
): SiteConfiguration {
  return {
    revision: 1,
    maxBodyBytes: 262_144,
    pools: [{name: 'pool', guardsRoom: false}],
    routes: policies.map(policy => ({
      hostName: 'example',
      pathPrefix: `/${policy.name}/`,
      policy,
    })),
  };
}
