import fc from 'fast-check';
import t from 'tap';
import {type StepUrgency, orderSteps} from '../../stepOrder';

const NOW = 100_000;

/** Builds the urgency of a step; its job has arrived just now. */
function buildUrgency(overrides: Partial<StepUrgency> = {}): StepUrgency {
  return {
    priority: 1,
    isExcess: false,
    arrivedAt: NOW,
    latestStartAt: NOW + 1000,
    ...overrides,
  };
}

function order(steps: readonly StepUrgency[]): StepUrgency[] {
  const {entitled, excess} = orderSteps(steps, step => step, NOW);
  return [...entitled, ...excess];
}

const urgency = fc.record({
  isExcess: fc.boolean(),
  priority: fc.integer({min: 0, max: 3}),
  arrivedAt: fc.integer({min: NOW - 9000, max: NOW}),
  latestStartAt: fc.integer({min: NOW - 5000, max: NOW + 5000}),
});

void t.test('no step is lost or placed before a higher priority', async () => {
  fc.assert(
    fc.property(fc.array(urgency), steps => {
      const ordered = order(steps);
      t.equal(ordered.length, steps.length);
      t.equal(new Set(ordered).size, steps.length);
      t.ok(
        ordered.every(
          ({priority, isExcess}, index) =>
            index === 0 || isExcess || ordered[index - 1].priority <= priority,
        ),
      );
    }),
    {numRuns: 200},
  );
});

void t.test('late steps make no timely one late in a burst', async t => {
  const late = Array.from({length: 20}, (_, index) =>
    buildUrgency({latestStartAt: NOW - 1 - index}),
  );
  const timely = buildUrgency();
  t.equal(order([...late, timely])[0], timely);
});

void t.test('a late step is not starved by timely ones', async t => {
  const late = buildUrgency({latestStartAt: NOW - 1});
  const timely = Array.from({length: 100}, (_, index) =>
    buildUrgency({latestStartAt: NOW + index}),
  );
  t.ok(order([late, ...timely]).indexOf(late) < 5);
});

void t.test('excess of one account delays no job of another', async t => {
  const excess = Array.from({length: 50}, () =>
    buildUrgency({priority: 0, isExcess: true, arrivedAt: NOW + 5000}),
  );
  const batch = buildUrgency({priority: 2});
  t.equal(order([...excess, batch])[0], batch);
});
