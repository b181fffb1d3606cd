import {createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {formatAccount, listAccounts, parseSeries} from '../../index';

void t.test(
  'accounts are read from the text that the metrics render',
  async t => {
    const metrics = createMetrics('samphireramp');
    const values = {
      waiting_jobs: 3,
      oldest_waiting_milliseconds: 2140,
      running_cpu_millis: 64_000,
      limit_cpu_millis: 64_000,
      run_share: 0.25,
      weight_share: 0.125,
    };
    metrics.gauge('runs', () => 12);
    metrics.samples(() =>
      Object.entries(values).map(([name, value]) => ({
        name: `account_${name}`,
        labels: {account: 'team a'},
        value,
      })),
    );
    metrics.samples(() => [
      {
        name: 'account_rejections',
        labels: {account: 'b', reason: 'c'},
        value: 1,
      },
    ]);
    const series = parseSeries(metrics.render());
    t.equal(series.get('runs'), 12);
    const accounts = listAccounts(series);
    t.same(accounts, [{account: 'team a', values}]);
    t.equal(
      formatAccount(accounts[0]),
      'account="team a" waiting_jobs=3 oldest_waiting=2.1s cpu=64000/64000' +
        ' memory=0/unlimited accelerators=0/unlimited' +
        ' run_share=25.0% weight_share=12.5%',
    );
  },
);
