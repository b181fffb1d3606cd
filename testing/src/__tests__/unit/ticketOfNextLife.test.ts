import t, {type Test} from 'tap';
import type {ModelSite, ModelWorker} from '../../index';
import {
  awaitOrder,
  beginNextLife,
  buildSiteOfOldWorkers,
  delayOrders,
  loseOpenPoll,
  setCutOff,
  submitTask,
} from './nextLifeFixture';
import {TICKET_POLICY} from './restartedWorkerFixture';

const JOB_ID = '00000000000000f6';
const TASK_MILLIS = 40_000;
/** Time in which an order that is on its way is answered. */
const ANSWER_MILLIS = 5;
/** By when the lease of the next life has passed, which it cuts to 10 s. */
const CUT_MILLIS = 12_000;
/** Time from a late order until it is carried out. */
const ORDER_DELAY_MILLIS = 1500;
/** By when an order has passed that comes 15 s late, and the lease in it. */
const LATE_ORDER_CUT_MILLIS = 27_000;
/** By then a lease has expired that was granted for 6 s at the cut, by a slow clock. */
const OWN_LEASE_EXPIRED_MILLIS = 7000;

/** Begins the next life of the first worker, and submits a task that it gets ordered. */
async function orderWithTicketOfNextLife(): Promise<[ModelSite, ModelWorker]> {
  const [site, worker] = await buildSiteOfOldWorkers(TICKET_POLICY);
  await loseOpenPoll(site);
  beginNextLife(worker);
  submitTask(site, JOB_ID, TASK_MILLIS, TICKET_POLICY);
  return [site, worker];
}

/** Cuts the first worker off; checks that its task then runs once elsewhere. */
async function checkCutOff(
  t: Test,
  site: ModelSite,
  cutMillis: number,
): Promise<void> {
  setCutOff(site, true);
  await site.run(cutMillis);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 2, 'it has started elsewhere');
}

void t.test(
  'a run does not run twice if its ticket was issued for the next life of its worker',
  async t => {
    const [site, worker] = await orderWithTicketOfNextLife();
    t.equal(await awaitOrder(site, 1), worker);
    await site.run(ANSWER_MILLIS);
    t.equal(worker.countRuns(), 1);
    await checkCutOff(t, site, CUT_MILLIS);
  },
);

void t.test(
  'nor if that life carries out its order late and without an answer',
  async t => {
    const [site, worker] = await orderWithTicketOfNextLife();
    delayOrders(site, ORDER_DELAY_MILLIS);
    t.equal(await awaitOrder(site, 1), worker);
    await site.run(ANSWER_MILLIS);
    site.faultState = {...site.faultState, losesOrderAnswer: () => false};
    await checkCutOff(t, site, LATE_ORDER_CUT_MILLIS);
  },
);

for (const policy of [TICKET_POLICY, undefined]) {
  void t.test(
    `a task does not wait for a lease that the clock in the answer rules out, ${
      policy ? 'with' : 'without'
    } a ticket`,
    async t => {
      const [site, worker] = await buildSiteOfOldWorkers(policy);
      submitTask(site, JOB_ID, TASK_MILLIS, policy);
      t.equal(await awaitOrder(site, 1), worker);
      await site.run(ANSWER_MILLIS);
      t.equal(worker.countRuns(), 1);
      await checkCutOff(t, site, OWN_LEASE_EXPIRED_MILLIS);
    },
  );
}
