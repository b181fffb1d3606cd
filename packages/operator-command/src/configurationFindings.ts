import type {
  ClientAccount,
  QueueRoute,
  Resources,
  SiteConfiguration,
} from '@samphireramp/jobs';
import type {ConfigurationFinding} from './ConfigurationFinding';

/**
 * A limit below these amounts is taken for a mistake, such as one of the unit: the
 * configuration does not say what tasks need, and none is expected to need less.
 */
const SMALLEST_EXPECTED_NEED: Resources = {
  cpuMillis: 100,
  memoryMegabytes: 16,
  accelerators: 1,
};
/** Characters that no path of a call has: they begin its query or fragment. */
const AFTER_PATH = /[?#]/;

/** Finds the parts of a configuration that have no effect or contradict others. */
export function checkConfiguration(
  configuration: SiteConfiguration,
): ConfigurationFinding[] {
  return [
    ...findShadowedRoutes(configuration),
    ...configuration.routes.flatMap(findUnmatchableParts),
    ...findUnknownPools(configuration),
    ...findRepeatedQueues(configuration),
    ...findRepeatedNames('pools', 'pool', configuration.pools),
    ...findRepeatedNames(
      'clientAccounts',
      'account',
      configuration.clientAccounts,
    ),
    ...findRepeatedKeys(configuration),
    ...findUnadmittedAccounts(configuration),
    ...configuration.clientAccounts.flatMap(findContradictoryLimits),
    ...findBodyLimit(configuration),
  ];
}

/** Of routes with the same host name and prefix, the first takes all calls. */
function findShadowedRoutes({
  routes,
}: SiteConfiguration): ConfigurationFinding[] {
  const firstByTarget = new Map<string, QueueRoute>();
  return routes.flatMap((route, index) => {
    const target = JSON.stringify([route.hostName, route.pathPrefix]);
    const first = firstByTarget.get(target);
    if (first === undefined) {
      firstByTarget.set(target, route);
      return [];
    }
    const reason = `never chosen: queue ${quote(first.policy.name)} has the same host name and prefix and comes first`;
    const path = ['routes', index, 'pathPrefix'];
    return [{severity: 'error', kind: 'never-matches', path, reason}];
  });
}

function findUnmatchableParts(
  {hostName, pathPrefix}: QueueRoute,
  index: number,
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const addFinding = (field: string, reason: string) =>
    findings.push({
      severity: 'error',
      kind: 'never-matches',
      path: ['routes', index, field],
      reason,
    });
  if (hostName.includes(':')) {
    addFinding(
      'hostName',
      'never matches: host names are compared without port',
    );
  }
  if (pathPrefix !== '' && !pathPrefix.startsWith('/')) {
    addFinding('pathPrefix', 'never matches: each path begins with a slash');
  }
  if (AFTER_PATH.test(pathPrefix)) {
    addFinding('pathPrefix', 'never matches: a path has no query or fragment');
  }
  return findings;
}

function findUnknownPools({
  routes,
  pools,
}: SiteConfiguration): ConfigurationFinding[] {
  const poolNames = new Set(pools.map(({name}) => name));
  return routes.flatMap(({policy}, index) =>
    poolNames.has(policy.pool)
      ? []
      : [
          {
            severity: 'error',
            kind: 'unknown-pool',
            path: ['routes', index, 'policy', 'pool'],
            reason: `queue ${quote(policy.name)} has no workers: no pool is named ${quote(policy.pool)}`,
          },
        ],
  );
}

/**
 * Jobs of a queue have the policy of the first route with its name. Several routes
 * to one queue are no mistake if they agree on it.
 */
function findRepeatedQueues({
  routes,
}: SiteConfiguration): ConfigurationFinding[] {
  const policyByName = new Map<string, string>();
  return routes.flatMap(({policy}, index) => {
    const text = JSON.stringify(policy);
    const first = policyByName.get(policy.name);
    policyByName.set(policy.name, first ?? text);
    if (first === undefined || first === text) {
      return [];
    }
    const reason = `an earlier route is also named ${quote(policy.name)}, and its policy applies to the jobs of both`;
    const path = ['routes', index, 'policy', 'name'];
    return [{severity: 'error', kind: 'duplicate', path, reason}];
  });
}

function findRepeatedNames(
  list: 'pools' | 'clientAccounts',
  noun: string,
  entries: readonly {readonly name: string}[],
): ConfigurationFinding[] {
  const names = new Set<string>();
  return entries.flatMap(({name}, index) => {
    if (!names.has(name)) {
      names.add(name);
      return [];
    }
    const reason = `an earlier ${noun} is also named ${quote(name)}`;
    const path = [list, index, 'name'];
    return [{severity: 'error', kind: 'duplicate', path, reason}];
  });
}

/** Two accounts with one key can't be told apart. */
function findRepeatedKeys({
  clientAccounts,
}: SiteConfiguration): ConfigurationFinding[] {
  const ownerByDigest = new Map<string, number>();
  return clientAccounts.flatMap(({keyDigests}, index) => {
    const earlierOwners = new Set<number>();
    for (const digest of keyDigests) {
      const owner = ownerByDigest.get(digest);
      if (owner === undefined) {
        ownerByDigest.set(digest, index);
      } else {
        earlierOwners.add(owner);
      }
    }
    return [...earlierOwners].map(owner => ({
      severity: owner === index ? ('warning' as const) : ('error' as const),
      kind: 'duplicate' as const,
      path: ['clientAccounts', index, 'keyDigests'],
      reason:
        owner === index
          ? 'an API key is listed more than once'
          : `an API key is also one of account ${quote(clientAccounts[owner].name)}`,
    }));
  });
}

/** An account without keys, or without routes that ask for one, has no calls. */
function findUnadmittedAccounts({
  routes,
  clientAccounts,
}: SiteConfiguration): ConfigurationFinding[] {
  const needsKeys = routes.some(({isPublic}) => !isPublic);
  return clientAccounts.flatMap(({name, keyDigests}, index) => {
    const account = `no call belongs to account ${quote(name)}`;
    const path = ['clientAccounts', index];
    const findings: ConfigurationFinding[] = [];
    if (keyDigests.length === 0) {
      findings.push({
        severity: 'warning',
        kind: 'never-matches',
        path: [...path, 'keyDigests'],
        reason: `${account}: it has no API key`,
      });
    }
    if (!needsKeys) {
      findings.push({
        severity: 'warning',
        kind: 'never-matches',
        path,
        reason: `${account}: each route is public`,
      });
    }
    return findings;
  });
}

function findContradictoryLimits(
  {weight, limit}: ClientAccount,
  index: number,
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const addFinding = (path: readonly string[], reason: string) =>
    findings.push({
      severity: 'warning',
      kind: 'contradictory-limit',
      path: ['clientAccounts', index, ...path],
      reason,
    });
  if (weight === 0) {
    addFinding(['weight'], 'a weight of 0 is taken as the smallest share');
  }
  for (const resource of Object.keys(limit) as (keyof Resources)[]) {
    const amount = limit[resource];
    const smallest = SMALLEST_EXPECTED_NEED[resource];
    if (amount > 0 && amount < smallest) {
      addFinding(
        ['limit', resource],
        `${amount} is less than any task is expected to need (${smallest})`,
      );
    }
  }
  return findings;
}

function findBodyLimit({
  maxBodyBytes,
}: SiteConfiguration): ConfigurationFinding[] {
  return maxBodyBytes > 0
    ? []
    : [
        {
          severity: 'error',
          kind: 'contradictory-limit',
          path: ['maxBodyBytes'],
          reason: `no job is accepted with at most ${maxBodyBytes} bytes`,
        },
      ];
}

/** Quotes a name, so that spaces and control characters are visible. */
function quote(name: string): string {
  return JSON.stringify(name);
}
