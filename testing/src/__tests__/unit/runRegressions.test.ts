import type {StartRefusal} from '@samphireramp/fleet';
import type {Job} from '@samphireramp/jobs';
import t from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();

void t.test('a job counts as pending until a worker starts it', async t => {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  await site.run(1000);
  // No start order is answered, and none takes effect within the test.
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () => 60_000,
  };
  const job = buildJob('00000000000000b7', [buildStep({count: 3})], {
    policy: POLICY,
    receivedAt: 1000,
  });
  void site.submit(site.hosts[0], job);
  await site.run(1000);
  t.equal(site.checker.countStarts(job.id), 0);
  for (const host of site.hosts) {
    t.equal(site.readPending(host, POLICY.name), 1, host.name);
  }
  site.faultState = {...site.faultState, losesOrderAnswer: () => false};
  await site.run(4000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});

void t.test('a new holder finds that a job has started', async t => {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  await site.run(1000);
  const job = buildJob(
    '00000000000000b8',
    [buildStep({estimateMillis: 20_000})],
    {policy: POLICY, receivedAt: 1000},
  );
  void site.submit(site.hosts[0], job);
  while (site.checker.countStarts(job.id) === 0) {
    await site.run(1);
  }
  // The holder ends before it can record that the run has started.
  const [holder, follower] = [...site.hosts].sort(host =>
    host === site.holder() ? -1 : 1,
  );
  site.kill(holder);
  t.equal(site.readJobState(follower, job.id), 'queued');
  await site.run(5000);
  t.equal(site.readJobState(follower, job.id), 'running');
  t.equal(site.readPending(follower, POLICY.name), 0);
});

/** A job whose only step is a gang with a task on each of four workers. */
function buildGang(id: string, estimateMillis = 500): Job {
  const need = {cpuMillis: 7000, memoryMegabytes: 1000, accelerators: 0};
  const step = buildStep({count: 4, need, isGang: true, estimateMillis});
  return buildJob(id, [step], {policy: POLICY, receivedAt: 1000});
}

void t.test('no gang waits for a member that was refused', async t => {
  const site = buildModelSite({workers: 4, policies: [POLICY]});
  site.checker.areFaultsOver = () => true;
  await site.run(1000);
  const [worker] = site.workers;
  const start = worker.start.bind(worker);
  worker.start = (order, term, leaseUntil) =>
    order.runId.run === 1 ? 'no-room' : start(order, term, leaseUntil);
  const gang = buildGang('00000000000000b9');
  void site.submit(site.hosts[0], gang);
  await site.run(2500);
  t.equal(site.readJobState(site.hosts[0], gang.id), 'completed');
  t.same(site.checker.violations, []);
});

void t.test('no gang waits for a member that gives no answer', async t => {
  const site = buildModelSite({workers: 4, policies: [POLICY]});
  site.checker.areFaultsOver = () => true;
  await site.run(1000);
  // The start order of one member is lost, and so is each repetition of it.
  const lostOrders = [1, 5, 6];
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => lostOrders.includes(++orders),
    orderDelayMillis: () => 60_000,
  };
  const gang = buildGang('00000000000000ba');
  void site.submit(site.hosts[0], gang);
  await site.run(4500);
  t.equal(site.readJobState(site.hosts[0], gang.id), 'completed');
  t.same(site.checker.violations, []);
});

void t.test(
  'a restarted worker refuses an order sent to its earlier life',
  async t => {
    const site = buildModelSite({workers: 1, policies: [POLICY]});
    site.checker.areFaultsOver = () => true;
    await site.run(1000);
    // The first order is carried out late; its repetition starts the run.
    let orders = 0;
    site.faultState = {
      ...site.faultState,
      losesOrderAnswer: () => ++orders === 1,
      orderDelayMillis: () => 5000,
    };
    const job = buildJob('00000000000000bb', [buildStep()], {
      policy: POLICY,
      receivedAt: 1000,
    });
    void site.submit(site.hosts[0], job);
    await site.run(1500);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    // Its entry in the registry is still that of its earlier life.
    site.workers[0].restart();
    await site.run(6000);
    t.equal(site.checker.countStarts(job.id), 1);
    t.same(site.checker.violations, []);
  },
);

/**
 * Leaves the first order, that for the task with index 0, without an answer, to
 * be carried out after `delayMillis`; the worker refuses its repetition.
 */
function refuseRepeatedOrder(
  site: ModelSite,
  refusal: StartRefusal,
  delayMillis: number,
): void {
  let orders = 0;
  let starts = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => ++orders === 1,
    orderDelayMillis: () => delayMillis,
  };
  for (const worker of site.workers) {
    const start = worker.start.bind(worker);
    worker.start = (order, term, leaseUntil) =>
      order.runId.index === 0 && ++starts === 1
        ? refusal
        : start(order, term, leaseUntil);
  }
}

const REFUSALS: readonly StartRefusal[] = [
  'unhealthy',
  'malformed',
  'no-room',
  'bad-ticket',
  'late',
];

for (const refusal of REFUSALS) {
  void t.test(
    `a repetition refused as ${refusal} does not void an unanswered order`,
    async t => {
      const site = buildModelSite({workers: 2, policies: [POLICY]});
      await site.run(1000);
      refuseRepeatedOrder(site, refusal, 2000);
      const job = buildJob(
        '00000000000000bc',
        [buildStep({estimateMillis: 3000})],
        {policy: POLICY, receivedAt: 1000},
      );
      void site.submit(site.hosts[0], job);
      await site.run(8000);
      t.same(site.checker.violations, []);
      t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
      t.equal(site.checker.countStarts(job.id), 1);
    },
  );
}

void t.test(
  'a gang waits for the member whose repeated order was refused',
  async t => {
    const site = buildModelSite({workers: 5, policies: [POLICY]});
    await site.run(1000);
    refuseRepeatedOrder(site, 'unhealthy', 1500);
    const gang = buildGang('00000000000000bd', 3000);
    void site.submit(site.hosts[0], gang);
    await site.run(8000);
    t.same(site.checker.violations, []);
    t.equal(site.readJobState(site.hosts[0], gang.id), 'completed');
  },
);

void t.test(
  'a refused stop of an unanswered order is repeated soon',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    // The worker refuses the repeated start order and the first three stop orders.
    let orders = 0;
    let deliveries = 0;
    site.faultState = {
      ...site.faultState,
      losesOrderAnswer: () => ++orders === 1,
      orderDelayMillis: () => 60_000,
      refusesOrder: () => ++deliveries <= 4,
    };
    const job = buildJob('00000000000000be', [buildStep()], {
      policy: POLICY,
      receivedAt: 1000,
    });
    void site.submit(site.hosts[0], job);
    await site.run(3000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    t.same(site.checker.violations, []);
  },
);
