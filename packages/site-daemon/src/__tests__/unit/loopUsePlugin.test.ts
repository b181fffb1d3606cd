import {createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createLoopUsePlugin} from '../../loopUsePlugin';
import {buildFollower} from './followerFixture';

/** A kernel whose loop has the times that `times` says, and what it logs. */
function buildMeasuredKernel() {
  const times = {active: 0, idle: 0, passes: 0};
  const lines: unknown[] = [];
  const metrics = createMetrics('site');
  const {clock, kernel, tickAt} = buildFollower();
  kernel.register(
    createLoopUsePlugin({
      readTimes: () => ({...times}),
      metrics,
      log: (event, fields) => lines.push({event, ...fields}),
    }),
  );
  /** Lets time pass, of which the loop uses a part, and some of it for passes. */
  const pass = (millis: number, active: number, passes: number) => {
    times.active += active;
    times.idle += millis - active;
    times.passes += passes;
    tickAt(clock.now + millis);
  };
  return {pass, lines, metrics};
}

void t.test('a window in which the loop is full is logged', async t => {
  const {pass, lines, metrics} = buildMeasuredKernel();
  pass(40, 40, 0);
  pass(1000, 1000, 300);
  pass(1000, 900, 200);
  t.same(lines, [
    {
      event: 'loop-full',
      millis: 2000,
      activeMillis: 1900,
      passMillis: 500,
      term: undefined,
    },
  ]);
  t.match(metrics.render(), 'site_loop_share 0.95\n');
});

void t.test('a window with idle time is measured only', async t => {
  const {pass, lines, metrics} = buildMeasuredKernel();
  pass(40, 40, 0);
  pass(2000, 500, 100);
  t.same(lines, []);
  t.match(metrics.render(), 'site_loop_share 0.25\n');
});
