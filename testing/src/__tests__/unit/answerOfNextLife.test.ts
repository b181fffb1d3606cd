import t from 'tap';
import {
  awaitOrder,
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f1';
const TASK_MILLIS = 20_000;
/** Time in which an order that is on its way is answered. */
const ANSWER_MILLIS = 5;
/** By when the lease of the next life has passed, which it cuts to 10 s. */
const CUT_MILLIS = 12_000;

void t.test(
  'a run that the next life started does not run twice if that life is cut off unheard',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    submitTask(site, JOB_ID, TASK_MILLIS);
    t.equal(await awaitOrder(site, 1), worker);
    beginNextLife(worker);
    await site.run(ANSWER_MILLIS);
    t.equal(worker.countRuns(), 1);
    setCutOff(site, true);
    await site.run(CUT_MILLIS);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 2, 'it has started elsewhere');
  },
);
