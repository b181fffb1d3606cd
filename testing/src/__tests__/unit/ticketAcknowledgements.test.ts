import t from 'tap';
import {WORKERS} from '@samphireramp/fleet';
import type {ModelSite, ModelWorker} from '../../index';
import {
  awaitOrder,
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';
import {TICKET_POLICY} from './restartedWorkerFixture';

const EARLIER_JOB_ID = '00000000000000f2';
const LATER_JOB_ID = '00000000000000f3';
const TASK_MILLIS = 300;
/** Time in which an order that is on its way is answered. */
const ANSWER_MILLIS = 10;
/** Delay after which a poll without an answer is carried out. */
const POLL_DELAY_MILLIS = 3000;
/** By when the next life has carried out that poll. */
const CUT_MILLIS = 4000;

/** Leaves the poll that acknowledges the end of a run without an answer. */
async function delayAcknowledgement(
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  const {incarnation} = worker;
  const isOnItsWay = () =>
    site.holder()?.kernel.read(WORKERS).get(incarnation)?.acknowledgement ===
    'open';
  let polls = 0;
  site.faultState = {
    ...site.faultState,
    losesPollAnswer: id => id === worker.id && isOnItsWay() && ++polls === 1,
    orderDelayMillis: () => POLL_DELAY_MILLIS,
  };
  while (polls === 0) {
    await site.run(1);
  }
}

void t.test(
  'a late poll acknowledges no end of a run whose ticket was issued for the next life',
  async t => {
    const [site, worker] = await buildSiteOfOldWorkers(TICKET_POLICY);
    submitTask(site, EARLIER_JOB_ID, TASK_MILLIS, TICKET_POLICY);
    await delayAcknowledgement(site, worker);
    beginNextLife(worker);
    submitTask(site, LATER_JOB_ID, TASK_MILLIS, TICKET_POLICY);
    t.equal(await awaitOrder(site, 1), worker);
    await site.run(ANSWER_MILLIS);
    t.equal(worker.countRuns(), 1);
    setCutOff(site, true);
    await site.run(CUT_MILLIS);
    t.equal(worker.countRuns(), 0, 'its run has ended');
    setCutOff(site, false);
    await site.run(10_000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(LATER_JOB_ID), 1);
  },
);
