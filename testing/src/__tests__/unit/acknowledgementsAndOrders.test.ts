import t, {type Test} from 'tap';
import type {ModelSite, ModelWorker} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  delayNextPoll,
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
    await delayNextPoll(site, worker, POLL_DELAY_MILLIS);
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
    await delayNextPoll(site, worker, POLL_DELAY_MILLIS);
    await checkNextLife(t, site, worker);
  },
);
