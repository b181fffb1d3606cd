import t from 'tap';
import {awaitOrder, buildSiteOfOldWorkers, submitTask} from './nextLifeFixture';
import {TICKET_POLICY} from './restartedWorkerFixture';
import {
  ANSWER_MILLIS,
  JOB_ID,
  TASK_MILLIS,
  checkCutOff,
  orderWithTicketOfNextLife,
} from './ticketOfNextLifeFixture';

/** By when the lease of the next life has passed, which it cuts to 10 s. */
const CUT_MILLIS = 12_000;
/** By then a lease has expired that was granted for 6 s at the cut, by a slow clock. */
const OWN_LEASE_EXPIRED_MILLIS = 7000;

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
