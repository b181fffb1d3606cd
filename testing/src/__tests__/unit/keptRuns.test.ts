import t from 'tap';
import {
  awaitOrder,
  beginNextLife,
  buildSiteOfOldWorkers,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f7';
const TASK_MILLIS = 10_000;
/** By when an order has arrived, and nobody has polled the next life yet. */
const ORDER_MILLIS = 10;

void t.test(
  'a new holder keeps a run that the next life has taken for the earlier one',
  async t => {
    const [site] = await buildSiteOfOldWorkers();
    submitTask(site, JOB_ID, TASK_MILLIS);
    const worker = await awaitOrder(site, 1);
    const holder = site.holder();
    if (worker === undefined || holder === undefined) {
      throw new Error('no order was sent');
    }
    beginNextLife(worker);
    await site.run(ORDER_MILLIS);
    t.equal(worker.countRuns(), 1);
    site.kill(holder);
    await site.run(20_000);
    const follower = site.holder() ?? site.hosts[0];
    t.equal(site.readJobState(follower, JOB_ID), 'completed');
    t.equal(site.checker.countStarts(JOB_ID), 1);
    t.same(site.checker.violations, []);
  },
);
