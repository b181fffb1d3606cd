import {createRandom} from '@samphireramp/testing';
import fc from 'fast-check';
import t from 'tap';
import {type HandInSituation, decideHandIn} from '../../handInDecision';

const FULL: HandInSituation = {
  weight: 2,
  waitingJobs: 100,
  isSiteFull: true,
  maxWaitMillis: 10_000,
};

// Guards against rejections of jobs that may well be served in time.
void t.test('a job is rejected only if it is known to be late', async t => {
  const kindOf = (change: Partial<HandInSituation>) =>
    decideHandIn({...FULL, ...change}, () => 0).kind;
  t.equal(kindOf({}), 'reject');
  t.equal(kindOf({isSiteFull: false}), 'accept');
  t.equal(kindOf({waitingJobs: undefined}), 'accept');
  t.equal(kindOf({waitingJobs: 24}), 'accept', '10 s and the burst');
  t.equal(kindOf({waitingJobs: 25}), 'reject');
});

// Guards against callers that are sent back too early, or all at once.
void t.test(
  'the Retry-After covers the own backlog, and is spread',
  async t => {
    const random = createRandom(1);
    const delays = Array.from({length: 200}, () => {
      const decision = decideHandIn(FULL, random);
      return decision.kind === 'reject' ? decision.retryAfterSeconds : 0;
    });
    t.ok(delays.every(seconds => seconds >= 38 && seconds <= 57));
    t.ok(new Set(delays).size > 10);
    fc.assert(
      fc.property(fc.double({min: 0, max: 1e9}), fc.nat(), (weight, jobs) => {
        const decision = decideHandIn(
          {...FULL, weight, waitingJobs: jobs},
          random,
        );
        return (
          decision.kind === 'accept' ||
          (decision.retryAfterSeconds >= 1 &&
            decision.retryAfterSeconds <= 5400)
        );
      }),
    );
  },
);
