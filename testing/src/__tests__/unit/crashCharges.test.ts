import t from 'tap';
import {
  buildSiteOfOldWorkers,
  restartUnderOrders,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f6';
const TASK_MILLIS = 10_000;
/** Number of crashes for which a task that alone began last is given up. */
const RESTARTS = 2;
/** By when the last life has answered its first poll. */
const REPORT_MILLIS = 1000;

void t.test(
  'a task is not suspected as long as the next life has the run that was ordered',
  async t => {
    const [site] = await buildSiteOfOldWorkers();
    submitTask(site, JOB_ID, TASK_MILLIS);
    await restartUnderOrders(site, RESTARTS);
    await site.run(REPORT_MILLIS);
    const lines = site.events.map(line => JSON.parse(line) as {event: string});
    t.ok(lines.some(({event}) => event === 'worker-crashed'));
    t.notOk(lines.some(({event}) => /^task-(suspected|given-up)/.test(event)));
    t.same(site.checker.violations, []);
  },
);
