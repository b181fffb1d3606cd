import t from 'tap';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f1';
const TASK_MILLIS = 20_000;
/** Time in which a task is submitted, placed, ordered and started. */
const START_MILLIS = 300;
/** By when the lease of the next life has passed, which it cuts to 10 s. */
const CUT_MILLIS = 12_000;

void t.test(
  'a run that the next life started does not run twice if that life is cut off unheard',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    beginNextLife(worker);
    submitTask(site, JOB_ID, TASK_MILLIS);
    await site.run(START_MILLIS);
    t.equal(worker.countRuns(), 1);
    setCutOff(site, true);
    await site.run(CUT_MILLIS);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 2, 'it has started elsewhere');
  },
);
