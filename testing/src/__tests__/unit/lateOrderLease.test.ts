import t from 'tap';
import type {ModelSite} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f6';
const TASK_MILLIS = 40_000;
/** Time in which the first order gets no answer and the second one starts the task. */
const START_MILLIS = 1000;
const ORDER_DELAY_MILLIS = 8000;
/** By when the late order can't come any more, and the lease it carried has passed. */
const CUT_MILLIS = 30_000;

/** Leaves the first order without an answer; it is carried out late. */
function delayFirstOrder(site: ModelSite): void {
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => ++orders === 1,
    orderDelayMillis: () => ORDER_DELAY_MILLIS,
  };
}

void t.test(
  'the lease that an unheard life got with a late order is waited for',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers();
    delayFirstOrder(site);
    submitTask(site, JOB_ID, TASK_MILLIS);
    await site.run(START_MILLIS);
    t.equal(worker.countRuns(), 1);
    beginNextLife(worker);
    setCutOff(site, true);
    await site.run(CUT_MILLIS);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 3, 'it has started elsewhere');
  },
);
