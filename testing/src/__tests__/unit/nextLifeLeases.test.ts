import t, {type Test} from 'tap';
import {
  type ModelHost,
  type ModelSite,
  type ModelWorker,
  buildModelSite,
} from '../../index';
import {awaitFirstReport} from './earlierLeaseFixture';
import {
  TICKET_POLICY,
  restartBetweenOrders,
  submitTicketTask,
} from './restartedWorkerFixture';

const LONG_JOB_ID = '00000000000000e2';
const CUT_MILLIS = 11_000;
/** By then a lease has expired that was granted for 6 s at the cut, by a slow clock. */
const OWN_LEASE_EXPIRED_MILLIS = 7000;
/** First readings of the clock of the next life, in milliseconds. */
const FIRST_READINGS = [0, 6_886_070, Number.MAX_SAFE_INTEGER - 1_000_000_000];

/** Cuts a worker off from all hosts, by default until any lease has expired. */
async function cutOff(
  site: ModelSite,
  worker: ModelWorker,
  millis = CUT_MILLIS,
): Promise<void> {
  site.faultState = {
    ...site.faultState,
    canCall: (_, id) => id !== worker.id,
  };
  await site.run(millis);
}

/** Builds a site whose first worker restarts between orders, and runs a long task. */
async function buildRestartedSite(
  t: Test,
  firstClockMillis: number,
): Promise<[ModelSite, ModelWorker]> {
  const site = buildModelSite({workers: 2, policies: [TICKET_POLICY]});
  const [worker] = site.workers;
  await site.run(30_000);
  await restartBetweenOrders(site, worker, firstClockMillis);
  await site.run(150);
  submitTicketTask(site, worker, LONG_JOB_ID, 20_000);
  await site.run(300);
  t.equal(worker.countRuns(), 1);
  return [site, worker];
}

/** Ends the holder, and returns the host that holds the site next. */
async function replaceHolder(site: ModelSite): Promise<ModelHost> {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
  while (site.holder() === undefined) {
    await site.run(1);
  }
  return site.holder() ?? site.hosts[0];
}

function checkStartedAgain(t: Test, site: ModelSite): void {
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(LONG_JOB_ID), 2);
}

for (const clock of FIRST_READINGS) {
  void t.test(
    `no task runs twice beside a lease from a call to the earlier life, clock at ${clock}`,
    async t => {
      const [site, worker] = await buildRestartedSite(t, clock);
      await cutOff(site, worker);
      checkStartedAgain(t, site);
    },
  );

  void t.test(
    `nor with a next holder that never reaches the worker, clock at ${clock}`,
    async t => {
      const [site, worker] = await buildRestartedSite(t, clock);
      void replaceHolder(site);
      await cutOff(site, worker);
      checkStartedAgain(t, site);
    },
  );

  void t.test(
    `nor with a next holder that reaches the worker once, clock at ${clock}`,
    async t => {
      const [site, worker] = await buildRestartedSite(t, clock);
      const next = await replaceHolder(site);
      await awaitFirstReport(site, next);
      await cutOff(site, worker);
      checkStartedAgain(t, site);
    },
  );
}

void t.test(
  'a task does not wait for a lease that the clock of the next life rules out',
  async t => {
    const ahead = FIRST_READINGS[FIRST_READINGS.length - 1];
    const [site, worker] = await buildRestartedSite(t, ahead);
    await cutOff(site, worker, OWN_LEASE_EXPIRED_MILLIS);
    checkStartedAgain(t, site);
  },
);

void t.test(
  'a task does not wait for leases from before the first life of a worker',
  async t => {
    const site = buildModelSite({workers: 1, policies: [TICKET_POLICY]});
    await site.run(30_000);
    site.addWorker('worker-new', 'rack-1');
    const worker = site.workers[1];
    await site.run(100);
    submitTicketTask(site, worker, LONG_JOB_ID, 20_000);
    await site.run(300);
    t.equal(worker.countRuns(), 1);
    await cutOff(site, worker, OWN_LEASE_EXPIRED_MILLIS);
    checkStartedAgain(t, site);
  },
);
