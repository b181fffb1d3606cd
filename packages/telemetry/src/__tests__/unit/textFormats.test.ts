import t from 'tap';
import {createMetrics, formatEvent} from '../..';

void t.test('a value cannot forge a line or a pair', async t => {
  const line = formatEvent('started', {name: 'a b=c\nevent=forged', n: 1});
  t.equal(line, 'event=started name="a b=c\\nevent=forged" n=1');
});

void t.test('metrics are rendered in the Prometheus text format', async t => {
  const metrics = createMetrics('site');
  metrics.count('calls', {kind: 'a"b'});
  metrics.time('wait', 12, {kind: 'x'});
  const text = metrics.render();
  t.match(text, /site_calls_total\{kind="a_b"\} 1/);
  t.match(text, /site_wait_milliseconds\{kind="x",quantile="0.5"\} 12/);
});

void t.test('a gauge with a label has a series for each value', async t => {
  const metrics = createMetrics('site');
  const unregister = metrics.gauges(
    'left_out',
    'event',
    () => new Map(Object.entries({advised: 3, 'job-taken': 1})),
  );
  t.match(
    metrics.render(),
    /site_left_out\{event="advised"\} 3\nsite_left_out\{event="job-taken"\} 1/,
  );
  unregister();
  t.notMatch(metrics.render(), /left_out/);
});

void t.test('gauges that are sampled together keep their labels', async t => {
  const metrics = createMetrics('site');
  const unregister = metrics.samples(() => [
    {name: 'ratio', labels: {queue: 'q', quantile: '0.5'}, value: 1.5},
  ]);
  t.match(metrics.render(), /^site_ratio\{queue="q",quantile="0.5"\} 1.5$/m);
  unregister();
  t.notMatch(metrics.render(), /ratio/);
});
