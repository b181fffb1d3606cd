import {findRoute, NO_RESOURCES} from '@samphireramp/jobs';
import {formatConfigurationPath} from '@samphireramp/platform';
import {buildPolicy} from '@samphireramp/testing';
import fc from 'fast-check';
import t from 'tap';
import {checkConfiguration, compareConfigurations} from '../../index';
import {
  buildAccount,
  buildRoute,
  buildSite,
  configurationArbitrary,
  restOfPathArbitrary,
} from './configurationFixture';

/** The findings of a site with the given parts, one line each. */
function check(overrides: Parameters<typeof buildSite>[0]): string[] {
  return checkConfiguration(buildSite(overrides)).map(
    ({severity, kind, path}) =>
      `${severity} ${kind} ${formatConfigurationPath(path)}`,
  );
}

/** The differences of a site with the given parts from one without them. */
function compare(overrides: Parameters<typeof buildSite>[0]): string[] {
  return compareConfigurations(buildSite(), buildSite(overrides)).map(
    ({path, reason}) => `${formatConfigurationPath(path)}: ${reason}`,
  );
}

void t.test('a configuration without faults has no findings', async t => {
  t.same(check({}), []);
  // Two routes to one queue, and prefixes of which one begins with another.
  const routes = [
    buildRoute('a'),
    buildRoute('a', {pathPrefix: '/a/more/'}),
    buildRoute('a', {hostName: 'other.example'}),
  ];
  t.same(check({routes}), []);
  // Amounts of 0 mean no limit.
  t.same(check({clientAccounts: []}), []);
});

void t.test('routes that never match are found', async t => {
  const second = buildRoute('b', {pathPrefix: '/a/'});
  t.same(check({routes: [buildRoute('a'), second]}), [
    'error never-matches routes.1.path_prefix',
  ]);
  const routes = [
    buildRoute('a', {hostName: 'jobs.example:80'}),
    buildRoute('b', {pathPrefix: 'b/'}),
    buildRoute('c', {pathPrefix: '/c?d='}),
  ];
  t.same(check({routes}), [
    'error never-matches routes.0.host',
    'error never-matches routes.1.path_prefix',
    'error never-matches routes.2.path_prefix',
  ]);
});

void t.test('a queue without a pool is found', async t => {
  const policy = buildPolicy({name: 'a', pool: 'missing'});
  t.same(check({routes: [buildRoute('a', {policy})]}), [
    'error unknown-pool routes.0.service',
  ]);
});

void t.test('repeated names and keys are found, the keys not told', async t => {
  const pool = {name: 'pool', guardsRoom: false};
  const clientAccounts = [
    buildAccount('one', {keyDigests: ['digest-1', 'digest-1']}),
    buildAccount('two', {keyDigests: ['digest-2', 'digest-1']}),
    buildAccount('one', {keyDigests: ['digest-3']}),
  ];
  const routes = [
    buildRoute('a'),
    buildRoute('b', {policy: buildPolicy({name: 'a', priority: 9})}),
  ];
  const parts = {routes, clientAccounts, pools: [pool, pool]};
  t.same(check(parts), [
    'error duplicate routes.1.name',
    'error duplicate services.1.name',
    'error duplicate tenants.2.name',
    'warning duplicate tenants.0.api_keys',
    'error duplicate tenants.1.api_keys',
  ]);
  const findings = checkConfiguration(buildSite(parts));
  t.notMatch(JSON.stringify(findings), /digest-/);
});

void t.test('accounts that have no calls are found', async t => {
  t.same(check({clientAccounts: [buildAccount('a', {keyDigests: []})]}), [
    'warning never-matches tenants.0.api_keys',
  ]);
  t.same(check({routes: [buildRoute('a', {isPublic: true})]}), [
    'warning never-matches tenants.0',
  ]);
});

void t.test('limits below any task, and weights of 0, are found', async t => {
  const limit = {cpuMillis: 16, memoryMegabytes: 16, accelerators: 0.5};
  t.same(check({clientAccounts: [buildAccount('a', {weight: 0, limit})]}), [
    'warning contradictory-limit tenants.0.weight',
    'warning contradictory-limit tenants.0.max_count.cpu',
    'warning contradictory-limit tenants.0.max_count.gpu',
  ]);
  t.same(check({maxBodyBytes: 0}), [
    'error contradictory-limit limits.max_body_bytes',
  ]);
});

void t.test('differences name the field, and count keys', async t => {
  const limit = {...NO_RESOURCES, cpuMillis: 8000};
  const keyDigests = ['digest-new', 'digest-newer'];
  t.same(compare({}), []);
  t.same(
    compare({
      revision: 2,
      routes: [
        buildRoute('c'),
        buildRoute('b', {policy: buildPolicy({name: 'b', priority: 0})}),
      ],
      clientAccounts: [
        buildAccount('new'),
        buildAccount('team', {limit, keyDigests}),
      ],
    }),
    [
      'version: 1 before, 2 now',
      'routes.0: queue "c" added',
      'routes.1.priority: 1 before, 0 now',
      'routes: queue "a" removed',
      'tenants.0: account "new" added',
      'tenants.1.max_count.cpu: 0 before, 8000 now',
      'tenants.1.api_keys: 2 API keys added, 1 removed',
    ],
  );
  t.match(compare({revision: 0}), [/hosts that have revision 1 keep it/, /./]);
});

void t.test('a configuration has no differences from itself', async t => {
  fc.assert(
    fc.property(configurationArbitrary, configuration => {
      const copy = structuredClone(configuration);
      return compareConfigurations(configuration, copy).length === 0;
    }),
  );
  t.pass('for each generated configuration');
});

void t.test('a change is found in both directions, without keys', async t => {
  fc.assert(
    fc.property(configurationArbitrary, configurationArbitrary, (a, b) => {
      const findings = [
        ...compareConfigurations(a, b),
        ...checkConfiguration(b),
      ];
      const isSame = compareConfigurations(a, b).length === 0;
      return (
        isSame === (compareConfigurations(b, a).length === 0) &&
        !JSON.stringify(findings).includes('digest')
      );
    }),
  );
  t.pass('for each generated pair');
});

void t.test('a shadowed route is never chosen, any other can be', async t => {
  fc.assert(
    fc.property(
      configurationArbitrary,
      restOfPathArbitrary,
      (configuration, rest) => {
        const shadowed = new Set(
          checkConfiguration(configuration)
            .filter(
              ({kind, path}) =>
                kind === 'never-matches' && path[0] === 'routes',
            )
            .map(({path}) => path[1]),
        );
        return configuration.routes.every((route, index) => {
          const {hostName, pathPrefix} = route;
          const chosenFor = (path: string) =>
            findRoute(configuration, hostName, path);
          return shadowed.has(index)
            ? chosenFor(pathPrefix + rest) !== route
            : chosenFor(pathPrefix) === route;
        });
      },
    ),
    {numRuns: 1000},
  );
  t.pass('for each generated configuration and path');
});
