import t from 'tap';
import type {ModelSite} from '../../index';
import {
  awaitOrder,
  beginNextLife,
  buildSiteOfOldWorkers,
  loseOpenPoll,
  setCutOff,
  submitTask,
} from './nextLifeFixture';
import {TICKET_POLICY} from './restartedWorkerFixture';

const JOB_ID = '00000000000000f6';
const LATER_JOB_ID = '00000000000000f8';
const TASK_MILLIS = 40_000;
/** Time in which an order that is on its way is answered. */
const ANSWER_MILLIS = 5;
/** Time in which a task is submitted, placed and ordered. */
const ORDER_MILLIS = 100;
/** Delay after which a call without an answer is carried out. */
const CALL_DELAY_MILLIS = 6000;
/** By when the lease in that call has passed. */
const CUT_MILLIS = 20_000;

/** Has the calls from now on that get no answer carried out late. */
function delayCalls(site: ModelSite): void {
  const orderDelayMillis = () => CALL_DELAY_MILLIS;
  site.faultState = {...site.faultState, orderDelayMillis};
}

/** Orders another task to the first worker, which carries that out late. */
async function orderLate(site: ModelSite): Promise<void> {
  delayCalls(site);
  site.faultState = {...site.faultState, losesOrderAnswer: () => true};
  submitTask(site, LATER_JOB_ID, TASK_MILLIS, TICKET_POLICY);
  await site.run(ORDER_MILLIS);
  site.faultState = {...site.faultState, losesOrderAnswer: () => false};
}

for (const isByPoll of [true, false]) {
  void t.test(
    `a run of an unheard life does not run twice if a late ${
      isByPoll ? 'poll' : 'order'
    } renews its lease`,
    async t => {
      const [site, worker] = await buildSiteOfOldWorkers(TICKET_POLICY);
      if (isByPoll) {
        delayCalls(site);
      }
      await loseOpenPoll(site);
      beginNextLife(worker);
      submitTask(site, JOB_ID, TASK_MILLIS, TICKET_POLICY);
      t.equal(await awaitOrder(site, 1), worker);
      await site.run(ANSWER_MILLIS);
      t.equal(worker.countRuns(), 1);
      if (!isByPoll) {
        await orderLate(site);
      }
      setCutOff(site, true);
      await site.run(CUT_MILLIS);
      t.same(site.checker.violations, []);
    },
  );
}
