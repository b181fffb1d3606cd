import type {ClientAccount} from '@samphireramp/jobs';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {buildAccount, buildJob, createRandom} from '@samphireramp/testing';
import t from 'tap';
import {
  MAX_DELAY_MILLIS,
  MAX_SPANS,
  SMALLEST_WEIGHT,
  USED_SPANS,
  burstMillisOf,
  virtualDelayMillis,
} from '../../virtualArrivals';

const RUN = createCommand<(update: Update) => void>('run');
const START_AT = 1_760_000_000_000;

/** Builds a function that returns the delay of a job received at a time. */
function buildDelays(accounts: readonly ClientAccount[] | undefined) {
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(USED_SPANS);
  kernel.registerCommand(RUN, (update, run) => run(update));
  const delayOf = (account: string, receivedAt: number): number => {
    let delay = NaN;
    kernel.dispatch(RUN, update => {
      const job = buildJob('0', [], {
        account,
        receivedAt: START_AT + receivedAt,
      });
      delay = virtualDelayMillis(update, job, () => accounts);
    });
    return delay;
  };
  return {kernel, delayOf};
}

/** Times of receipt of a number of jobs at a rate. */
function timesAt(jobsPerSecond: number, jobs: number, firstAt = 0): number[] {
  return Array.from(
    {length: jobs},
    (_, index) => firstAt + (index * 1000) / jobsPerSecond,
  );
}

// Guards against delays of accounts that send no more than they are entitled to.
void t.test(
  'jobs at the weight, and a burst of five seconds, are not delayed',
  async t => {
    const {delayOf} = buildDelays([buildAccount('a', {}, 5)]);
    t.ok(timesAt(5, 500).every(at => delayOf('a', at) === 0));
    const burst = timesAt(1e9, 27, 200_000).map(at => delayOf('a', at));
    t.ok(burst.slice(0, 26).every(delay => delay < 1));
    t.ok(Math.abs(burst[26] - 200) < 1, 'the job after the burst is delayed');
  },
);

// Guards against an order in which an account gains by sending more.
void t.test(
  'an account far over its rate counts as if it sent at its weight',
  async t => {
    const {delayOf} = buildDelays([buildAccount('a', {}, 2)]);
    const arrivals = timesAt(2000, 4000).map(at => at + delayOf('a', at));
    const bound = (second: number) =>
      2 * second + 2 * (burstMillisOf(2) / 1000) + 1;
    const seconds = Array.from({length: 1000}, (_, index) => index + 1);
    t.same(
      seconds.filter(
        second =>
          arrivals.filter(at => at <= second * 1000).length > bound(second),
      ),
      [],
    );
  },
);

// Guards against delays that depend on the partition that is read first.
void t.test(
  'jobs that are read out of order are not delayed for that',
  async t => {
    const {delayOf} = buildDelays([buildAccount('a', {}, 10)]);
    const times = timesAt(10, 600);
    const partitions = [0, 1, 2].map(first =>
      times.filter((_, index) => index % 3 === first),
    );
    t.ok(partitions.flat().every(at => delayOf('a', at) <= 1));
  },
);

void t.test('a clock that is stepped and back delays nothing', async t => {
  const {delayOf} = buildDelays([buildAccount('a', {}, 1)]);
  const steps = [-3_600_000, 0, 3_600_000, 0, -86_400_000, 0];
  steps.forEach((stepMillis, index) =>
    t.ok(
      timesAt(1, 3, index * 3000 + stepMillis).every(
        at => delayOf('a', at) === 0,
      ),
    ),
  );
  t.equal(delayOf('a', NaN), 0);
});

// Guards against a burst that is held against an account for days, and against
// memory that grows with the jobs.
void t.test('delays and the state are bounded', async t => {
  const {kernel, delayOf} = buildDelays([buildAccount('a', {}, 0)]);
  const random = createRandom(1);
  let isBounded = true;
  for (let job = 0; job < 3000; job++) {
    const delay = delayOf('a', random() * 1e8);
    isBounded &&= delay >= 0 && delay <= MAX_DELAY_MILLIS;
  }
  t.ok(isBounded);
  t.ok((kernel.read(USED_SPANS).get('a') ?? []).length <= MAX_SPANS);
  timesAt(1e6, 10_000).forEach(at => delayOf('b', at));
  t.equal(delayOf('b', 1), MAX_DELAY_MILLIS);
  t.equal(delayOf('b', 2 * MAX_DELAY_MILLIS + 1000 / SMALLEST_WEIGHT), 0);
});

void t.test(
  'jobs without an account, or a configuration, are not delayed',
  async t => {
    const {delayOf} = buildDelays([]);
    t.ok(timesAt(1e6, 100).every(at => delayOf('', at) === 0));
    const unconfigured = buildDelays(undefined);
    t.ok(timesAt(1e6, 100).every(at => unconfigured.delayOf('a', at) === 0));
  },
);
