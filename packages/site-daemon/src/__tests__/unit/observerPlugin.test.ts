import {createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createObserverPlugin} from '../../observerPlugin';
import {buildFollower} from './followerFixture';

/** A kernel with an observer, and what it logs and measures. */
function buildObservedKernel() {
  const lines: unknown[] = [];
  const durations: unknown[] = [];
  const {kernel, tickAt} = buildFollower();
  kernel.register(
    createObserverPlugin({
      metrics: {
        ...createMetrics('site'),
        time: (name, millis) => durations.push({name, millis}),
      },
      log: (event, fields) => lines.push({event, ...fields}),
    }),
  );
  return {tickAt, lines, durations};
}

void t.test('a delay of the loop is measured, and logged if long', async t => {
  const {tickAt, lines, durations} = buildObservedKernel();
  for (const now of [0, 40, 90, 500, 540]) {
    tickAt(now);
  }
  t.same(lines, [{event: 'loop-delayed', millis: 370, term: undefined}]);
  t.same(
    durations,
    [0, 10, 370, 0].map(millis => ({name: 'loop_delay', millis})),
  );
});
