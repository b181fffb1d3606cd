import {HOLDING_TICK, createHoldingPlugin} from '@samphireramp/holding';
import {createKernel} from '@samphireramp/kernel';

/** A kernel of a host that never claims the site, on a clock that the test sets. */
export function buildFollower() {
  const clock = {now: 0};
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
  const tickAt = (now: number) => {
    clock.now = now;
    kernel.dispatch(HOLDING_TICK, undefined);
  };
  return {clock, kernel, tickAt};
}
