import {HOLDING_TICK, createHoldingPlugin} from '@samphireramp/holding';
import {createKernel} from '@samphireramp/kernel';
import {createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createObserverPlugin} from '../../observerPlugin';

/** A kernel with an observer, and what it logs and measures. */
function buildObservedKernel() {
  const clock = {now: 0};
  const lines: unknown[] = [];
  const durations: unknown[] = [];
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  kernel.register(
    createHoldingPlugin({
      self: 'host-a',
      incarnation: 'incarnation-1',
      roundTripMillis: () => 1,
      claimDelayMillis: () => Infinity,
    }),
  );
  kernel.register(
    createObserverPlugin({
      metrics: {
        ...createMetrics('site'),
        time: (name, millis) => durations.push({name, millis}),
      },
      log: (event, fields) => lines.push({event, ...fields}),
    }),
  );
  const tickAt = (now: number) => {
    clock.now = now;
    kernel.dispatch(HOLDING_TICK, undefined);
  };
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
