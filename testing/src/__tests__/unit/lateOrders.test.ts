import {RUNS, STOP_ANSWERED} from '@samphireramp/fleet';
import {heldTerm} from '@samphireramp/holding';
import {type Job, runKey} from '@samphireramp/jobs';
import t, {type Test} from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
/** An order that is delayed by this is not carried out within a test. */
const NEVER_MILLIS = 60_000;

/**
 * Leaves the orders with the given numbers, counted from 1, without an answer;
 * each is carried out after its delay.
 */
function delayOrders(
  site: ModelSite,
  delayByNumber: ReadonlyMap<number, number>,
): void {
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => delayByNumber.has(++orders),
    orderDelayMillis: () => delayByNumber.get(orders) ?? NEVER_MILLIS,
  };
}

/** Builds a job of one task. */
function buildTask(id: string, estimateMillis: number): Job {
  return buildJob(id, [buildStep({estimateMillis})], {
    policy: POLICY,
    receivedAt: 1000,
  });
}

/** Submits a job and returns the worker that its only task is ordered to. */
async function submitAndFindWorker(
  site: ModelSite,
  job: Job,
): Promise<ModelWorker> {
  void site.submit(site.hosts[0], job);
  for (;;) {
    await site.run(1);
    const [run] = site.holder()?.kernel.read(RUNS).values() ?? [];
    const worker = site.workers.find(
      ({incarnation}) => incarnation === run?.incarnation,
    );
    if (worker !== undefined && run.startOrders > 0) {
      return worker;
    }
  }
}

/** Takes a worker down; its next incarnation comes up after `downMillis`. */
function crash(site: ModelSite, worker: ModelWorker, downMillis: number): void {
  worker.isUp = false;
  worker.restart();
  site.clock.after(downMillis, () => {
    // The clock of an incarnation starts when it comes up.
    worker.restart();
    worker.isUp = true;
  });
}

/** Runs the site until the job must have ended, and checks that all went well. */
async function runToCompletion(
  t: Test,
  site: ModelSite,
  job: Job,
): Promise<void> {
  await site.run(30_000);
  t.same(site.checker.violations, []);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
}

void t.test(
  'an order to a crashed worker holds its task back until it is settled',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    delayOrders(site, new Map([[1, 11_500]]));
    const job = buildTask('00000000000000c0', 9000);
    const worker = await submitAndFindWorker(site, job);
    await site.run(50);
    crash(site, worker, 10_900);
    site.clock.after(4500, () => site.deleteRegistryEntry(worker));
    site.clock.after(11_900, () => site.writeRegistryEntry(worker));
    await runToCompletion(t, site, job);
  },
);

void t.test(
  'an order to a worker that left holds its task back until it is settled',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    delayOrders(site, new Map([[1, 5000]]));
    const job = buildTask('00000000000000c1', 9000);
    const worker = await submitAndFindWorker(site, job);
    site.writeRegistryEntry(worker, true);
    await site.run(50);
    crash(site, worker, 4400);
    site.deleteRegistryEntry(worker);
    site.clock.after(5300, () => site.writeRegistryEntry(worker));
    await runToCompletion(t, site, job);
  },
);

void t.test(
  'a repeated order that was taken does not settle the first one',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    delayOrders(site, new Map([[1, 11_500]]));
    const job = buildTask('00000000000000c2', 9000);
    const worker = await submitAndFindWorker(site, job);
    await site.run(1500);
    t.equal(worker.countRuns(), 1);
    crash(site, worker, 9400);
    site.clock.after(4500, () => site.deleteRegistryEntry(worker));
    site.clock.after(10_400, () => site.writeRegistryEntry(worker));
    await runToCompletion(t, site, job);
  },
);

void t.test(
  'a restarted worker refuses the orders that its earlier life left unanswered',
  async t => {
    const site = buildModelSite({workers: 1, policies: [POLICY]});
    await site.run(1000);
    // The first start order is late, and so is the next order after its repetition.
    delayOrders(
      site,
      new Map([
        [1, 5000],
        [3, NEVER_MILLIS],
      ]),
    );
    const job = buildTask('00000000000000c3', 500);
    const worker = await submitAndFindWorker(site, job);
    await site.run(1500);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    worker.restart();
    site.writeRegistryEntry(worker);
    await site.run(6000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(job.id), 1);
  },
);

void t.test(
  'a late order of an earlier holder is refused once its successor polls',
  async t => {
    const site = buildModelSite({workers: 1, policies: [POLICY]});
    await site.run(1000);
    delayOrders(site, new Map([[1, 9000]]));
    const job = buildTask('00000000000000c4', 500);
    const worker = await submitAndFindWorker(site, job);
    await site.run(1500);
    const holder = site.holder();
    t.ok(holder, 'a host is the holder');
    if (holder !== undefined) {
      site.kill(holder);
    }
    await site.run(4000);
    worker.restart();
    site.writeRegistryEntry(worker);
    await site.run(6000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(job.id), 1);
  },
);

void t.test(
  'an answer to a stop order for another incarnation does not settle a run',
  async t => {
    const site = buildModelSite({workers: 1, policies: [POLICY]});
    await site.run(1000);
    site.faultState = {
      ...site.faultState,
      losesOrderAnswer: () => true,
      orderDelayMillis: () => NEVER_MILLIS,
    };
    const job = buildTask('00000000000000c5', 500);
    const {kernel} = site.holder() ?? site.hosts[0];
    void site.submit(site.hosts[0], job);
    await site.run(1800);
    const [run] = [...kernel.read(RUNS).values()];
    t.equal(run.phase, 'stopping');
    const key = runKey(run.runId);
    kernel.dispatch(STOP_ANSWERED, {
      runKey: key,
      incarnation: `${site.workers[0].id}@0`,
      term: heldTerm(kernel) ?? 0,
      workerId: site.workers[0].id,
      fence: Infinity,
      outcome: 'stopped',
    });
    t.equal(kernel.read(RUNS).get(key)?.confirmedAt, undefined);
  },
);
