import {
  type Job,
  NO_RESOURCES,
  type QueuePolicy,
  type SiteConfiguration,
  type Step,
} from '@samphireramp/jobs';

/** Builds a step with one small task; `overrides` replaces fields. */
export function buildStep(overrides: Partial<Step> = {}): Step {
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
    ...overrides,
  };
}

/** Builds the policy of a queue, with priority 1; `overrides` replaces fields. */
export function buildPolicy(overrides: Partial<QueuePolicy> = {}): QueuePolicy {
  return {
    name: 'queue',
    pool: 'pool',
    priority: 1,
    maxAttempts: 3,
    stretch: 2,
    targetMillis: 1000,
    ...overrides,
  };
}

/** Builds a job with the given steps; `overrides` replaces other fields. */
export function buildJob(
  id: string,
  steps: readonly Step[],
  overrides: Partial<Job> = {},
): Job {
  return {
    id,
    policy: buildPolicy(),
    account: '',
    input: `input of ${id}`,
    steps: [...steps],
    occurrences: 1,
    firstDueAt: 0,
    intervalMillis: 0,
    receivedAt: 0,
    ...overrides,
  };
}

/** Builds a configuration with one pool and a route to each queue. */
export function buildConfiguration(
  policies: readonly QueuePolicy[],
): SiteConfiguration {
  return {
    revision: 1,
    maxBodyBytes: 262_144,
    pools: [{name: 'pool', guardsRoom: false}],
    clientAccounts: [],
    routes: policies.map(policy => ({
      hostName: 'example',
      pathPrefix: `/${policy.name}/`,
      policy,
      isPublic: false,
    })),
  };
}
