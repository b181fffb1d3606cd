import type {Step} from '@samphireramp/jobs';
import t from 'tap';
import {type ModelSite, buildAccount} from '../../index';
import {
  GANGS,
  IDLE_LIMIT_MILLIS,
  OTHERS,
  buildGangSite,
  submitStep,
} from './gangQueueFixture';

const ACCOUNT = 'account';
/** Tasks that the account may run at a time; a gang needs all of them. */
const LIMIT_TASKS = 3;
const GANG: Partial<Step> = {count: LIMIT_TASKS, isGang: true};
const SMALL_JOB: Partial<Step> = {estimateMillis: 900};
/** Builds a mostly empty site on which the account has its limit. */
function buildSite(
  actualMillis: Readonly<Record<string, number>> = {},
): Promise<ModelSite> {
  const limit = {cpuMillis: LIMIT_TASKS * 1000};
  const accounts = [buildAccount(ACCOUNT, limit)];
  return buildGangSite({workers: 6, accounts}, actualMillis);
}

/** Submits a job of the account with one step of small tasks. */
function submit(
  ...[site, id, policy, step]: Parameters<typeof submitStep>
): void {
  submitStep(site, id, policy, step, {account: ACCOUNT});
}

/** Submits small jobs, each once the one before has run; returns the longest wait. */
async function longestWait(
  site: ModelSite,
  step: Partial<Step>,
  jobs: number,
): Promise<number> {
  let longest = 0;
  for (let index = 0; index < jobs; index++) {
    const id = `d${index}`;
    const submittedAt = site.clock.now;
    submit(site, id, OTHERS, step);
    while (
      site.checker.countStarts(id) === 0 &&
      site.clock.now - submittedAt < IDLE_LIMIT_MILLIS
    ) {
      await site.run(20);
    }
    longest = Math.max(longest, site.clock.now - submittedAt);
    await site.run(1500);
  }
  return longest;
}

// Guards against a gang that keeps a limit for what never ends.
void t.test(
  'jobs behind a gang that its limit leaves waiting for a service are started',
  async t => {
    const site = await buildSite({a0: Infinity});
    submit(site, 'a0', OTHERS, {isService: true});
    await site.run(500);
    submit(site, 'b0', GANGS, GANG);
    await site.run(500);
    t.ok((await longestWait(site, SMALL_JOB, 4)) < IDLE_LIMIT_MILLIS);
    t.equal(site.checker.countStarts('b0'), 0);
    t.same(site.checker.violations, []);
  },
);

// Guards against a gang that keeps a limit from jobs that end before it can use it.
void t.test(
  'jobs that end in time start although a gang waits for the limit',
  async t => {
    const site = await buildSite();
    submit(site, 'a1', OTHERS, {estimateMillis: 18_000});
    await site.run(500);
    submit(site, 'b1', GANGS, GANG);
    await site.run(500);
    t.ok((await longestWait(site, SMALL_JOB, 4)) < IDLE_LIMIT_MILLIS);
    t.equal(site.checker.countStarts('b1'), 0);
    await site.run(12_000);
    t.equal(site.checker.countStarts('b1'), LIMIT_TASKS);
    t.same(site.checker.violations, []);
  },
);

// Guards against a limit that is kept again and again for what an estimate promises.
void t.test(
  'jobs start although a gang waits for the limit by a wrong estimate',
  async t => {
    const site = await buildSite({a2: 60_000});
    submit(site, 'a2', OTHERS, {estimateMillis: 1000});
    await site.run(500);
    submit(site, 'b2', GANGS, GANG);
    await site.run(500);
    const step = {estimateMillis: 8000};
    t.ok((await longestWait(site, step, 2)) < IDLE_LIMIT_MILLIS);
    t.same(site.checker.violations, []);
  },
);
