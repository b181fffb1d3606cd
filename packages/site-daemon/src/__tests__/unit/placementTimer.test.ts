import type {PlacementScope} from '@samphireramp/dispatch';
import t from 'tap';
import {createPlacementTimer} from '../../placementTimer';

/** Builds a timer whose passes take the given times, on a clock of the test. */
function buildTimer(passMillis: Record<PlacementScope, number>) {
  const clock = {now: 0};
  const passes: string[] = [];
  let pending: {at: number; callback: () => void}[] = [];
  const schedule = createPlacementTimer({
    now: () => clock.now,
    delay: (callback, millis) =>
      pending.push({at: clock.now + millis, callback}),
    runPass: scope => {
      passes.push(`${scope} at ${clock.now}`);
      clock.now += passMillis[scope];
    },
  });
  const runUntil = (end: number) => {
    pending.sort((a, b) => a.at - b.at);
    while (pending.length > 0 && pending[0].at <= end) {
      const [{at, callback}, ...others] = pending;
      pending = others;
      clock.now = Math.max(clock.now, at);
      callback();
      pending.sort((a, b) => a.at - b.at);
    }
    clock.now = Math.max(clock.now, end);
  };
  const scheduleBoth = () => {
    schedule('all');
    schedule('urgent');
  };
  return {clock, passes, runUntil, scheduleBoth};
}

void t.test('a pass over all steps includes the urgent ones', async t => {
  const {passes, runUntil, scheduleBoth} = buildTimer({all: 3, urgent: 1});
  scheduleBoth();
  runUntil(100);
  t.same(passes, ['all at 2']);
});

void t.test('urgent steps don’t wait for the rest of a long pass', async t => {
  const {clock, passes, runUntil, scheduleBoth} = buildTimer({
    all: 40,
    urgent: 2,
  });
  scheduleBoth();
  runUntil(50);
  scheduleBoth();
  runUntil(100);
  t.same(passes, ['all at 2', 'urgent at 52']);
  clock.now = 100;
  runUntil(300);
  t.same(passes.slice(2), ['all at 202']);
});

void t.test('the rest counts from the end of the last pass', async t => {
  const {passes, runUntil, scheduleBoth} = buildTimer({all: 40, urgent: 2});
  scheduleBoth();
  runUntil(1000);
  scheduleBoth();
  runUntil(2000);
  t.same(passes, ['all at 2', 'all at 1002']);
});

void t.test('passes of one scope don’t follow one another at once', async t => {
  const {passes, runUntil, scheduleBoth} = buildTimer({all: 40, urgent: 10});
  scheduleBoth();
  for (let time = 45; time < 160; time += 5) {
    runUntil(time);
    scheduleBoth();
  }
  t.same(passes, ['all at 2', 'urgent at 47', 'urgent at 97', 'urgent at 147']);
});

// Guards against passes that always take a fifth of the loop, however short each one is.
void t.test('short passes leave more of the loop than long ones', async t => {
  const {clock, passes, runUntil, scheduleBoth} = buildTimer({
    all: 1,
    urgent: 0.5,
  });
  let millis = 0;
  scheduleBoth();
  for (let time = 1; time <= 1000; time++) {
    runUntil(time);
    scheduleBoth();
  }
  for (const pass of passes) {
    millis += pass.startsWith('all') ? 1 : 0.5;
  }
  t.ok(clock.now >= 1000);
  t.ok(millis < 100, `${passes.length} passes took ${millis} ms`);
});
