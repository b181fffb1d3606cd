import {
  type ClientAccount,
  NO_RESOURCES,
  type QueueRoute,
  type SiteConfiguration,
} from '@samphireramp/jobs';
import {buildConfiguration, buildPolicy} from '@samphireramp/testing';
import fc from 'fast-check';

/** Builds an account with one key; `overrides` replaces fields. */
export function buildAccount(
  name: string,
  overrides: Partial<ClientAccount> = {},
): ClientAccount {
  return {
    name,
    keyDigests: [`digest-of-${name}`],
    weight: 1,
    limit: NO_RESOURCES,
    ...overrides,
  };
}

/** Builds a route of `jobs.example` to a queue with its own prefix. */
export function buildRoute(
  name: string,
  overrides: Partial<QueueRoute> = {},
): QueueRoute {
  return {
    hostName: 'jobs.example',
    pathPrefix: `/${name}/`,
    policy: buildPolicy({name}),
    isPublic: false,
    ...overrides,
  };
}

/** Builds a configuration without findings; `overrides` replaces fields. */
export function buildSite(
  overrides: Partial<SiteConfiguration> = {},
): SiteConfiguration {
  return {
    ...buildConfiguration([]),
    routes: [buildRoute('a'), buildRoute('b')],
    clientAccounts: [buildAccount('team')],
    ...overrides,
  };
}

// Few values, so that entries of one configuration often collide.
const nameArbitrary = fc.constantFrom('a', 'b', 'pool', 'other pool');
const prefixArbitrary = fc
  .array(fc.constantFrom('a', 'b', '/'), {maxLength: 3})
  .map(parts => `/${parts.join('')}`);
const accountArbitrary = fc
  .record({
    name: nameArbitrary,
    keyDigests: fc.array(fc.constantFrom('digest-1', 'digest-2', 'digest-3')),
    weight: fc.nat({max: 2}),
    cpuMillis: fc.constantFrom(0, 50, 1000),
  })
  .map(({cpuMillis, ...account}) => ({
    ...account,
    limit: {...NO_RESOURCES, cpuMillis},
  }));
const routeArbitrary = fc
  .record({
    name: nameArbitrary,
    pool: nameArbitrary,
    hostName: fc.constantFrom('one.example', 'two.example'),
    pathPrefix: prefixArbitrary,
    isPublic: fc.boolean(),
  })
  .map(({name, pool, ...route}) => ({
    ...route,
    policy: buildPolicy({name, pool}),
  }));

/** Generates configurations, most of them with findings. */
export const configurationArbitrary: fc.Arbitrary<SiteConfiguration> =
  fc.record({
    revision: fc.nat({max: 3}),
    maxBodyBytes: fc.constantFrom(0, 1000),
    routes: fc.array(routeArbitrary, {maxLength: 6}),
    pools: fc.array(
      fc.record({name: nameArbitrary, guardsRoom: fc.boolean()}),
      {
        maxLength: 3,
      },
    ),
    clientAccounts: fc.array(accountArbitrary, {maxLength: 4}),
  });

/** Generates the rest of a path after the prefix of its route. */
export const restOfPathArbitrary = prefixArbitrary.map(path => path.slice(1));
