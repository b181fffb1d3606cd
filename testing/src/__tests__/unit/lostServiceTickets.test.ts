import t, {type Test} from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';
import {awaitOrder} from './nextLifeFixture';

const JOB_ID = '00000000000000fa';
const POLICY = buildPolicy({
  advice: {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500},
});
/** Age of workers that can't have a lease from a call to an earlier life any more. */
const OLD_WORKER_MILLIS = 30_000;
/** Time after a take-over within which a late call of the earlier holder may count. */
const AFTER_TAKE_OVER_MILLIS = 2000;
/** Time in which an order that is on its way is answered. */
const ANSWER_MILLIS = 5;
/** Bounds the time from the loss of a worker to the next run of its tasks. */
const LOSS_LIMIT_MILLIS = 9000;

/** Builds a site of workers that have long been up. */
async function buildOldSite(): Promise<ModelSite> {
  const site = buildModelSite({hosts: 3, workers: 3, policies: [POLICY]});
  await site.run(OLD_WORKER_MILLIS);
  return site;
}

/** Ends the holder, and runs the site until another one has held it for a while. */
async function replaceHolder(site: ModelSite): Promise<void> {
  const [earlier] = site.hosts.filter(host => host === site.holder());
  site.kill(earlier);
  while (site.holder() === undefined) {
    await site.run(1);
  }
  await site.run(AFTER_TAKE_OVER_MILLIS);
}

/** Submits a service of one task, and returns the worker to which it is ordered. */
async function orderService(site: ModelSite): Promise<ModelWorker> {
  const step = buildStep({isService: true, estimateMillis: 100_000});
  const receivedAt = site.clock.now;
  const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt});
  void site.submit(site.holder() ?? site.hosts[0], job);
  const worker = await awaitOrder(site, 1);
  if (worker === undefined) {
    throw new Error('no order was sent');
  }
  return worker;
}

/** Loses a worker for good; checks that its task soon runs elsewhere. */
async function checkLoss(
  t: Test,
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  worker.leave();
  const lostAt = site.clock.now;
  const mayWait = () => site.clock.now - lostAt <= LOSS_LIMIT_MILLIS;
  while (site.workers.every(each => each.countRuns() === 0) && mayWait()) {
    await site.run(20);
  }
  const millis = site.clock.now - lostAt;
  t.ok(millis <= LOSS_LIMIT_MILLIS, `${Math.round(millis)} ms`);
  t.same(site.checker.violations, []);
}

void t.test(
  'a service soon runs elsewhere if its worker is lost before the order arrives',
  async t => {
    const site = await buildOldSite();
    const worker = await orderService(site);
    t.equal(worker.countRuns(), 0);
    await checkLoss(t, site, worker);
  },
);

void t.test(
  'a service soon runs elsewhere if its worker is lost after a start soon after a take-over',
  async t => {
    const site = await buildOldSite();
    await replaceHolder(site);
    const worker = await orderService(site);
    await site.run(ANSWER_MILLIS);
    t.equal(worker.countRuns(), 1);
    await checkLoss(t, site, worker);
  },
);
