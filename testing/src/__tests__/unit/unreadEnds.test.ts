import t from 'tap';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  delayNextPoll,
  delayOrders,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const EARLIER_JOB_ID = '00000000000000f2';
const LATER_JOB_ID = '00000000000000f3';
const TASK_MILLIS = 300;
/** Time in which a task runs and its end is acknowledged. */
const END_MILLIS = 2500;
/** Time in which a task is submitted, placed and ordered. */
const ORDER_MILLIS = 200;
/** Delays after which the next life carries out the orders, then the poll. */
const ORDER_DELAY_MILLIS = 1500;
const POLL_DELAY_MILLIS = 6000;

void t.test(
  'no task starts again whose end at an unheard life a poll of the earlier one acknowledged',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    submitTask(site, EARLIER_JOB_ID, TASK_MILLIS);
    await site.run(END_MILLIS);
    t.equal(site.readJobState(site.hosts[0], EARLIER_JOB_ID), 'completed');
    await delayNextPoll(site, worker, POLL_DELAY_MILLIS);
    delayOrders(site, ORDER_DELAY_MILLIS);
    submitTask(site, LATER_JOB_ID, TASK_MILLIS);
    await site.run(ORDER_MILLIS);
    setCutOff(site, true);
    beginNextLife(worker);
    await site.run(POLL_DELAY_MILLIS);
    t.equal(site.checker.countStarts(LATER_JOB_ID), 1);
    t.equal(worker.countRuns(), 0, 'its run has ended');
    setCutOff(site, false);
    await site.run(10_000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(LATER_JOB_ID), 1);
  },
);
