import {createRandom, usedHeapBytes} from '@samphireramp/testing';
import t from 'tap';
import {
  QUEUE_RUN_TIMES,
  SHAPE_RUN_TIMES,
  STEP_RUN_TIMES,
} from '../../runTimeState';
import {buildLearner, buildTaskJob} from './learningFixture';

const SEEDS = 20;
const TRUE_MILLIS = 2200;

/** A factor between `1 - error` and `1 + error`, as estimates are off. */
function drawError(random: () => number, error: number): number {
  return 1 + (random() * 2 - 1) * error;
}

function medianOf(numbers: readonly number[]): number {
  return [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)];
}

interface Load {
  readonly title: string;
  /** Draws the duration of a run without a tail. */
  readonly trueMillis: (random: () => number) => number;
  readonly estimateError: number;
  /** Share of the runs that take 7 times as long. */
  readonly tailShare: number;
  /** Largest median error of predictions, as a logarithm. */
  readonly mostError: number;
  /** Largest median error, compared to that of the estimates. */
  readonly mostOfEstimateError: number;
}

const LOADS: readonly Load[] = [
  {
    title: 'estimates that predict nothing are not used',
    trueMillis: random => TRUE_MILLIS * drawError(random, 0.1),
    estimateError: 0.9,
    tailShare: 0,
    mostError: 0.1,
    mostOfEstimateError: 0.25,
  },
  {
    title: 'good estimates of very different durations are used',
    trueMillis: random => 100 * 100 ** random(),
    estimateError: 0.05,
    tailShare: 0,
    mostError: 0.08,
    mostOfEstimateError: 3,
  },
  {
    title: 'a heavy tail does not move the expected run time',
    trueMillis: random => TRUE_MILLIS * drawError(random, 0.1),
    estimateError: 0.5,
    tailShare: 0.03,
    mostError: 0.1,
    mostOfEstimateError: 0.5,
  },
];

for (const load of LOADS) {
  void t.test(load.title, async t => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const random = createRandom(seed);
      const {learn, expected, tail, ratios, clock} = buildLearner();
      const errors: number[] = [];
      const estimateErrors: number[] = [];
      for (let count = 0; count < 400; count++) {
        clock.now += 50;
        const plain = load.trueMillis(random);
        const job = buildTaskJob(plain * drawError(random, load.estimateError));
        if (count >= 100) {
          errors.push(Math.abs(Math.log(expected(job) / plain)));
          const [{estimateMillis}] = job.steps;
          estimateErrors.push(Math.abs(Math.log(estimateMillis / plain)));
          // A run of the tail must not be taken for a stuck one.
          t.ok(tail(job) > plain * 7);
        }
        learn(job, random() < load.tailShare ? plain * 7 : plain);
      }
      const byShare = ratios([0.5, 1]).get('queue')?.byShare;
      t.ok(Math.abs(Math.log(byShare?.get(0.5) ?? 0)) < 0.2);
      t.equal((byShare?.get(1) ?? 0) > 5, load.tailShare > 0);
      const error = medianOf(errors);
      t.ok(error < load.mostError, `seed ${seed}: ${error}`);
      const ofEstimates = error / medianOf(estimateErrors);
      t.ok(
        ofEstimates < load.mostOfEstimateError,
        `seed ${seed}: ${ofEstimates}`,
      );
    }
  });
}

void t.test('with nothing learned, the estimate is used as it is', async t => {
  const {expected, tail, speed, learn, endHolding} = buildLearner();
  const job = buildTaskJob(1234);
  t.equal(expected(job), 1234);
  t.equal(tail(job), Infinity);
  t.equal(speed('worker-a'), 1);
  for (let count = 0; count < 50; count++) {
    learn(buildTaskJob(1000), 5000);
  }
  t.ok(expected(job) > 4000);
  endHolding();
  t.equal(expected(job), 1234, 'a later holding begins with nothing');
});

void t.test('old durations are forgotten after a tenfold change', async t => {
  for (const [before, after] of [
    [400, 4000],
    [4000, 400],
  ]) {
    const random = createRandom(before);
    const {learn, expected, clock} = buildLearner();
    const draw = (millis: number) =>
      buildTaskJob(millis * drawError(random, 0.9));
    for (let count = 0; count < 500; count++) {
      clock.now += 20;
      learn(draw(before), before * drawError(random, 0.1));
    }
    for (let count = 0; count < 64; count++) {
      clock.now += 100;
      learn(draw(before), after * drawError(random, 0.1));
    }
    const error = Math.log(expected(draw(before)) / after);
    t.ok(Math.abs(error) < 0.5, `${before} to ${after}: ${error}`);
  }
});

void t.test('finished tasks of a step tell about the others', async t => {
  const random = createRandom(5);
  const {learn, expected} = buildLearner();
  const errors: number[] = [];
  for (let count = 0; count < 60; count++) {
    // The tasks of a step are alike, those of different steps are not.
    const plain = 200 * 50 ** random();
    const job = buildTaskJob(plain * drawError(random, 0.9), {count: 6});
    for (let task = 0; task < 5; task++) {
      learn(job, plain * drawError(random, 0.1));
    }
    errors.push(Math.abs(Math.log(expected(job) / plain)));
  }
  t.ok(medianOf(errors.slice(20)) < 0.1, String(medianOf(errors)));
});

void t.test('the speed of a worker is told apart from its tasks', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = createRandom(seed);
    const {learn, expected, speed, clock} = buildLearner();
    const speeds = [0.8, 1, 1.25, 0.8, 1, 1.25, 1, 1];
    const run = (rounds: number) => {
      for (let count = 0; count < rounds * speeds.length; count++) {
        clock.now += 20;
        const worker = count % speeds.length;
        const plain = TRUE_MILLIS * drawError(random, 0.1);
        const work = random() < 0.03 ? plain * 7 : plain;
        const job = buildTaskJob(plain * drawError(random, 0.5));
        learn(job, work / speeds[worker], {worker: `worker-${worker}`});
      }
    };
    run(40);
    t.ok(speed('worker-2') > speed('worker-1') * 1.08, `seed ${seed}`);
    t.ok(speed('worker-0') < speed('worker-1') * 0.92, `seed ${seed}`);
    speeds[6] = 0.2;
    run(5);
    t.ok(speed('worker-6') < 0.4, `seed ${seed}: ${speed('worker-6')}`);
    const error = Math.log(expected(buildTaskJob(TRUE_MILLIS)) / TRUE_MILLIS);
    t.ok(Math.abs(error) < 0.3, 'a slow worker does not change its tasks');
    speeds[6] = 1;
    run(5);
    t.ok(speed('worker-6') > 0.7, `seed ${seed}: ${speed('worker-6')}`);
    speeds[6] = 0.2;
    run(5);
    clock.now += 11_000;
    t.ok(speed('worker-6') > 0.5, 'it is tried again after a while');
  }
});

void t.test('runs that did not do all of the work are not learned', async t => {
  const {learn, expected, speed, avoid} = buildLearner();
  const job = buildTaskJob(1000);
  for (let count = 0; count < 20; count++) {
    learn(job, 10, {isResumed: true});
  }
  t.equal(expected(job), 1000);
  t.equal(speed('worker-a'), 1);
  avoid('worker-b', 1e9);
  for (let count = 0; count < 20; count++) {
    learn(job, 9000, {worker: 'worker-b'});
  }
  t.equal(expected(job), 1000, 'an avoided worker teaches nothing of tasks');
  const gang = buildTaskJob(1000, {queue: 'gangs', isGang: true, count: 9});
  for (let count = 0; count < 20; count++) {
    learn(gang, 4000, {worker: 'worker-c'});
  }
  t.ok(expected(gang) > 3000);
  t.equal(speed('worker-c'), 1, 'a gang tells nothing of one worker');
});

void t.test('an update that is undone teaches nothing', async t => {
  const {learn, expected} = buildLearner();
  for (let count = 0; count < 300; count++) {
    const before = expected(buildTaskJob(1000));
    learn(buildTaskJob(1000), 9000, {fails: true});
    t.equal(expected(buildTaskJob(1000)), before);
    learn(buildTaskJob(1000), 3000);
  }
  t.ok(expected(buildTaskJob(1000)) < 3200);
});

void t.test('a step of the clock does not stay in what is known', async t => {
  const {learn, expected, tail, clock} = buildLearner();
  for (let count = 0; count < 200; count++) {
    clock.now += 20;
    learn(buildTaskJob(1000), 1000);
  }
  // All runs that are under way seem to last for an hour more, or for no time.
  clock.now += 3_600_000;
  for (let count = 0; count < 16; count++) {
    learn(buildTaskJob(1000), count % 2 === 0 ? 3_600_000 : -50);
  }
  for (let count = 0; count < 40; count++) {
    clock.now += 20;
    learn(buildTaskJob(1000), 1000);
  }
  const after = expected(buildTaskJob(1000));
  t.ok(after > 800 && after < 1250, String(after));
  t.ok(Number.isFinite(tail(buildTaskJob(1000))));
});

void t.test('a flood of queues and steps takes bounded memory', async t => {
  const {kernel, learn, expected} = buildLearner();
  const flood = (first: number, jobs: number) => {
    for (let count = first; count < first + jobs; count++) {
      learn(buildTaskJob(100, {queue: `queue-${count}`, count: 2}), 300);
      if (count % 50 === 0) {
        learn(buildTaskJob(1000, {queue: 'kept'}), 3000);
      }
    }
  };
  flood(0, 5000);
  const before = usedHeapBytes();
  flood(5000, 10_000);
  t.ok(usedHeapBytes() - before < 4_000_000);
  t.ok(kernel.read(QUEUE_RUN_TIMES).size <= 128);
  t.ok(kernel.read(SHAPE_RUN_TIMES).size <= 256);
  t.ok(kernel.read(STEP_RUN_TIMES).size <= 4096);
  t.ok(
    expected(buildTaskJob(1000, {queue: 'kept'})) > 2500,
    'a queue in use stays known',
  );
});

// Guards against sound runs that are stopped again and again at a wrong prediction.
void t.test('the tail is not below what the caller expects', async t => {
  const {learn, tail} = buildLearner();
  for (let run = 0; run < 200; run++) {
    learn(buildTaskJob(100 + run), 100);
  }
  t.ok(tail(buildTaskJob(60_000)) >= 600_000);
  t.equal(tail(buildTaskJob(0)), Infinity);
});

// Guards against a slow worker that gets no runs, and so never shows its recovery.
void t.test('a slow worker without runs counts as less slow', async t => {
  const {learn, speed, clock} = buildLearner();
  for (let run = 0; run < 300; run++) {
    learn(buildTaskJob(1000), run % 6 === 0 ? 4000 : 1000, {
      worker: run % 6 === 0 ? 'slow' : `normal-${run % 6}`,
    });
  }
  const before = speed('slow');
  clock.now += 120_000;
  t.ok(before < 0.5);
  t.ok(speed('slow') > 0.8);
});
