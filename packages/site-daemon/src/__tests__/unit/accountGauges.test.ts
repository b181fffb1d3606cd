import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import {JOBS} from '@samphireramp/dispatch';
import {RUNS} from '@samphireramp/fleet';
import {HOLDING} from '@samphireramp/holding';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {type ClientAccount, NO_RESOURCES} from '@samphireramp/jobs';
import {buildConfiguration} from '@samphireramp/testing';
import {createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createAccountGauges} from '../../accountGauges';

const CHANGE = createCommand<(update: Update) => void>('change');
const ACCOUNT: ClientAccount = {
  name: 'team a',
  keyDigests: ['digest-of-a-key'],
  weight: 2,
  limit: {...NO_RESOURCES, cpuMillis: 8000},
};

/** Account gauges of a host with the state that they read, and its clock. */
function buildGauges() {
  const clock = {now: 0};
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  for (const slice of [HOLDING, SITE_CONFIGURATION, JOBS, RUNS]) {
    kernel.registerSlice(slice as typeof HOLDING);
  }
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const metrics = createMetrics('site');
  const readGauges = createAccountGauges({
    now: () => clock.now,
    wallClock: () => clock.now,
  });
  metrics.samples(() => readGauges(kernel));
  const configure = (clientAccounts: ClientAccount[]) =>
    kernel.dispatch(CHANGE, update =>
      update
        .write(SITE_CONFIGURATION)
        .set({...buildConfiguration([]), clientAccounts}),
    );
  const setHolding = (phase: 'holding' | 'following', term: number) =>
    kernel.dispatch(CHANGE, update => {
      const holding = update.write(HOLDING);
      const latestHolderRecord = {term} as never;
      holding.set({...holding.get(), phase, latestHolderRecord});
    });
  return {clock, metrics, configure, setHolding};
}

void t.test('the holder alone shows accounts, without keys', async t => {
  const {metrics, configure, setHolding, clock} = buildGauges();
  configure([ACCOUNT]);
  t.notMatch(metrics.render(), /account/);
  setHolding('holding', 7);
  t.match(
    metrics.render(),
    /^site_account_limit_cpu_millis\{account="team a"\} 8000$/m,
  );
  t.match(
    metrics.render(),
    /^site_account_weight_share\{account="team a"\} 1$/m,
  );
  t.match(metrics.render(), /^site_accounts_not_shown 0$/m);
  t.notMatch(metrics.render(), /digest/);
  configure([]);
  clock.now += 10;
  t.notMatch(metrics.render(), /account/);
  configure([ACCOUNT]);
  setHolding('following', 8);
  t.notMatch(metrics.render(), /account/);
});

void t.test('usage is computed at most once a second', async t => {
  const {metrics, configure, setHolding, clock} = buildGauges();
  configure([ACCOUNT]);
  setHolding('holding', 7);
  metrics.render();
  configure([{...ACCOUNT, limit: {...NO_RESOURCES, cpuMillis: 100}}]);
  clock.now = 999;
  t.match(metrics.render(), /limit_cpu_millis\{account="team a"\} 8000/);
  clock.now = 1000;
  t.match(metrics.render(), /limit_cpu_millis\{account="team a"\} 100\b/);
});
