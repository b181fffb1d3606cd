import t from 'tap';
import type {ModelSite} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const EARLIER_JOB_ID = '00000000000000f6';
const LATER_JOB_ID = '00000000000000f7';
/** Time of a task that ends once another host holds the site. */
const EARLIER_TASK_MILLIS = 3000;
/** Time of a task that two lives run, one after the other. */
const LATER_TASK_MILLIS = 3600;
/** Delay after which the first order is carried out, once it has been repeated. */
const FIRST_ORDER_DELAY_MILLIS = 460;
/** Delays after which the next life carries out the repeated order, then the poll. */
const REPEATED_ORDER_DELAY_MILLIS = 2900;
const POLL_DELAY_MILLIS = 4500;
/** By when each step of the schedule has come. */
const MAX_STEP_MILLIS = 10_000;

/** Runs the site until something is so. */
async function runUntil(site: ModelSite, isSo: () => boolean): Promise<void> {
  for (let millis = 0; !isSo() && millis < MAX_STEP_MILLIS; millis++) {
    await site.run(1);
  }
}

/** Leaves two orders without an answer; only the second one is carried out late. */
async function delaySecondOrder(site: ModelSite): Promise<void> {
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () =>
      ++orders === 2 ? REPEATED_ORDER_DELAY_MILLIS : FIRST_ORDER_DELAY_MILLIS,
  };
  await runUntil(site, () => orders === 2);
}

/** Leaves the next poll of the first worker without an answer; it is carried out late. */
async function delayNextPoll(site: ModelSite): Promise<void> {
  let polls = 0;
  site.faultState = {
    ...site.faultState,
    losesPollAnswer: id => id === site.workers[0].id && ++polls === 1,
    orderDelayMillis: () => POLL_DELAY_MILLIS,
  };
  await runUntil(site, () => polls > 0);
}

void t.test(
  'the next holder acknowledges no end beside a repeated order of the earlier one',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    submitTask(site, EARLIER_JOB_ID, EARLIER_TASK_MILLIS);
    await runUntil(site, () => worker.countRuns() === 1);
    submitTask(site, LATER_JOB_ID, LATER_TASK_MILLIS);
    await delaySecondOrder(site);
    site.hosts
      .filter(host => host === site.holder())
      .forEach(host => {
        site.kill(host);
      });
    await runUntil(site, () => site.holder() !== undefined);
    t.equal(worker.countRuns(), 2, 'both tasks run');
    await runUntil(site, () => worker.countRuns() === 1);
    await delayNextPoll(site);
    setCutOff(site, true);
    beginNextLife(worker);
    await site.run(POLL_DELAY_MILLIS);
    t.equal(site.checker.countStarts(LATER_JOB_ID), 2);
    t.equal(worker.countRuns(), 0, 'its run has ended');
    setCutOff(site, false);
    await site.run(MAX_STEP_MILLIS);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(LATER_JOB_ID), 2);
  },
);
