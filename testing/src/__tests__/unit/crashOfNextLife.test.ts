import t from 'tap';
import {
  buildSiteOfOldWorkers,
  restartUnderOrders,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f5';
const TASK_MILLIS = 10_000;
/** Number of crashes for which a task that alone began last is given up. */
const RESTARTS = 2;

void t.test(
  'no crash is charged to a run that the next life has started and goes on with',
  async t => {
    const [site] = await buildSiteOfOldWorkers();
    submitTask(site, JOB_ID, TASK_MILLIS);
    await restartUnderOrders(site, RESTARTS);
    await site.run(30_000);
    t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
    t.same(site.checker.violations, []);
  },
);
