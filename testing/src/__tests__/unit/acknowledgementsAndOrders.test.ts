import t, {type Test} from 'tap';
import type {ModelSite, ModelWorker} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  delayOrders,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const EARLIER_JOB_ID = '00000000000000f6';
const LATER_JOB_ID = '00000000000000f7';
const TASK_MILLIS = 300;
/** Time of a task that ends once another one has been ordered. */
const LONGER_TASK_MILLIS = 600;
/** Time in which a task is submitted, placed and ordered. */
const ORDER_MILLIS = 200;
/** Delays after which the next life carries out the orders, then the poll. */
const ORDER_DELAY_MILLIS = 1500;
const POLL_DELAY_MILLIS = 6000;
/** Time of a task that ends once another host holds the site. */
const TAKE_OVER_TASK_MILLIS = 3000;
/** Time of a task that two lives run, one after the other. */
const REPEATED_TASK_MILLIS = 3600;
/** Delay after which the first order is carried out, once it has been repeated. */
const FIRST_ORDER_DELAY_MILLIS = 460;
/** Delays after which the next life carries out the repeated order, then the poll. */
const REPEATED_ORDER_DELAY_MILLIS = 2900;
const NEXT_HOLDER_POLL_DELAY_MILLIS = 4500;

/** Runs the site until a worker has the given number of runs. */
async function awaitRuns(
  site: ModelSite,
  worker: ModelWorker,
  runs: number,
): Promise<void> {
  while (worker.countRuns() !== runs) {
    await site.run(1);
  }
}

/** Runs the site until the only run of a worker has ended. */
async function awaitEnd(site: ModelSite, worker: ModelWorker): Promise<void> {
  await awaitRuns(site, worker, 1);
  await awaitRuns(site, worker, 0);
}

/** Leaves the next poll of a worker without an answer; it is carried out late. */
async function delayNextPoll(
  site: ModelSite,
  worker: ModelWorker,
  delayMillis = POLL_DELAY_MILLIS,
): Promise<void> {
  let polls = 0;
  site.faultState = {
    ...site.faultState,
    losesPollAnswer: id => id === worker.id && ++polls === 1,
    orderDelayMillis: () => delayMillis,
  };
  while (polls === 0) {
    await site.run(1);
  }
}

/** Has the next life carry out the delayed calls unheard; checks that no task runs twice. */
async function checkNextLife(
  t: Test,
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  setCutOff(site, true);
  beginNextLife(worker);
  await site.run(POLL_DELAY_MILLIS);
  t.equal(site.checker.countStarts(LATER_JOB_ID), 1);
  t.equal(worker.countRuns(), 0, 'its run has ended');
  setCutOff(site, false);
  await site.run(10_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(LATER_JOB_ID), 1);
}

void t.test(
  'an acknowledgement without an answer is refused by a life that took a later order',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    submitTask(site, EARLIER_JOB_ID, TASK_MILLIS);
    await awaitEnd(site, worker);
    await delayNextPoll(site, worker);
    delayOrders(site, ORDER_DELAY_MILLIS);
    submitTask(site, LATER_JOB_ID, TASK_MILLIS);
    await site.run(ORDER_MILLIS);
    await checkNextLife(t, site, worker);
  },
);

void t.test(
  'no end is acknowledged while the next life may take an earlier order',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    submitTask(site, EARLIER_JOB_ID, LONGER_TASK_MILLIS);
    await site.run(ORDER_MILLIS);
    delayOrders(site, ORDER_DELAY_MILLIS);
    submitTask(site, LATER_JOB_ID, TASK_MILLIS);
    await awaitEnd(site, worker);
    await delayNextPoll(site, worker);
    await checkNextLife(t, site, worker);
  },
);

/** Leaves two orders without an answer; only the second one is carried out late. */
async function delaySecondOrder(site: ModelSite): Promise<void> {
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () =>
      ++orders === 2 ? REPEATED_ORDER_DELAY_MILLIS : FIRST_ORDER_DELAY_MILLIS,
  };
  while (orders < 2) {
    await site.run(1);
  }
}

/** Ends the holder, and runs the site until another host holds it. */
async function replaceHolder(site: ModelSite): Promise<void> {
  const [earlier] = site.hosts.filter(host => host === site.holder());
  site.kill(earlier);
  while (site.holder() === undefined) {
    await site.run(1);
  }
}

void t.test('nor while it may take an order of an earlier holder', async t => {
  const [site, worker] = await buildSiteOfOldWorkers();
  submitTask(site, EARLIER_JOB_ID, TAKE_OVER_TASK_MILLIS);
  await awaitRuns(site, worker, 1);
  submitTask(site, LATER_JOB_ID, REPEATED_TASK_MILLIS);
  await delaySecondOrder(site);
  await replaceHolder(site);
  t.equal(worker.countRuns(), 2, 'both tasks run');
  await awaitRuns(site, worker, 1);
  await delayNextPoll(site, worker, NEXT_HOLDER_POLL_DELAY_MILLIS);
  setCutOff(site, true);
  beginNextLife(worker);
  await site.run(NEXT_HOLDER_POLL_DELAY_MILLIS);
  t.equal(site.checker.countStarts(LATER_JOB_ID), 2);
  t.equal(worker.countRuns(), 0, 'its run has ended');
  setCutOff(site, false);
  await site.run(10_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(LATER_JOB_ID), 2);
});
