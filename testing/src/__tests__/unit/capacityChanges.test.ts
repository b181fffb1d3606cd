import type {QueuePolicy, Step} from '@samphireramp/jobs';
import t from 'tap';
import {
  type ModelSite,
  type ModelSiteOptions,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  changeCapacity,
} from '../../index';

const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const SMALL = {cpuMillis: 1000, memoryMegabytes: 2000, accelerators: 0};
const LARGE_NEED = {cpuMillis: 6000, memoryMegabytes: 4000, accelerators: 0};
/** By when a shrunken capacity counts. */
const GRACE_MILLIS = 6000;
const ADVICE = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};
const QUEUE = buildPolicy();
const ADVISED = buildPolicy({name: 'advised', advice: ADVICE});

/** Builds a site on which time has passed until its workers are known. */
async function buildSite(
  overrides: Partial<ModelSiteOptions> = {},
): Promise<ModelSite> {
  const site = buildModelSite({
    capacity: CAPACITY,
    policies: [QUEUE, ADVISED],
    ...overrides,
  });
  site.checker.areFaultsOver = () => true;
  await site.run(1000);
  return site;
}

/** Submits a job of one step, which runs for a minute unless it says else. */
function submitStep(
  site: ModelSite,
  id: string,
  step: Partial<Step>,
  policy: QueuePolicy = QUEUE,
): void {
  const steps = [buildStep({estimateMillis: 60_000, ...step})];
  const receivedAt = site.clock.now;
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  void site.submit(host, buildJob(id, steps, {policy, receivedAt}));
}

/** Fills workers with a task each, then lets their capacity shrink below it. */
async function overfill(
  site: ModelSite,
  workers: readonly ModelWorker[],
): Promise<void> {
  submitStep(site, 'full', {count: site.workers.length, need: LARGE_NEED});
  await site.run(500);
  workers.forEach(worker => changeCapacity(site, worker, SMALL));
  await site.run(GRACE_MILLIS);
}

void t.test('no task starts on a worker that has shrunk too far', async t => {
  const site = await buildSite({workers: 1});
  changeCapacity(site, site.workers[0], SMALL, 1500);
  await site.run(GRACE_MILLIS);
  submitStep(site, 'e0', {need: LARGE_NEED});
  await site.run(2000);
  t.equal(site.checker.countStarts('e0'), 0);
  changeCapacity(site, site.workers[0], CAPACITY, 1500);
  await site.run(1700);
  t.equal(site.checker.countStarts('e0'), 1, 'it starts once there is room');
  t.same(site.checker.violations, []);
});

void t.test('a gang waits for workers that grow again', async t => {
  const site = await buildSite({workers: 3});
  changeCapacity(site, site.workers[0], SMALL);
  await site.run(GRACE_MILLIS);
  submitStep(site, 'e1', {count: 3, need: LARGE_NEED, isGang: true});
  await site.run(500);
  submitStep(site, 'e2', {count: 2, need: LARGE_NEED, estimateMillis: 500});
  await site.run(1500);
  t.equal(site.checker.countStarts('e1'), 0);
  t.equal(site.checker.countStarts('e2'), 2, 'other steps use the room');
  changeCapacity(site, site.workers[0], CAPACITY);
  await site.run(500);
  t.equal(site.checker.countStarts('e1'), 3);
  t.same(site.checker.violations, []);
});

void t.test(
  'a run that was reserved before its worker shrank is not started',
  async t => {
    const site = await buildSite({hosts: 1, workers: 1});
    site.log.otherAppendMillis = () => GRACE_MILLIS + 500;
    submitStep(site, 'e3', {need: LARGE_NEED, estimateMillis: 500});
    await site.run(200);
    changeCapacity(site, site.workers[0], SMALL);
    await site.run(15_000);
    t.same(site.checker.violations, []);
    site.log.otherAppendMillis = () => 4;
    changeCapacity(site, site.workers[0], CAPACITY);
    await site.run(9000);
    t.equal(site.readJobState(site.hosts[0], 'e3'), 'completed');
  },
);

void t.test(
  'no gang starts in part when a worker shrinks after its reservation',
  async t => {
    const site = await buildSite({hosts: 1, workers: 3});
    site.log.otherAppendMillis = () => GRACE_MILLIS + 500;
    const gang = {count: 3, need: LARGE_NEED, estimateMillis: 500};
    submitStep(site, 'e4', {...gang, isGang: true});
    await site.run(200);
    changeCapacity(site, site.workers[1], SMALL);
    await site.run(15_000);
    site.log.otherAppendMillis = () => 4;
    changeCapacity(site, site.workers[1], CAPACITY);
    await site.run(9000);
    t.equal(site.readJobState(site.hosts[0], 'e4'), 'completed');
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'no task that fills unused capacity starts on a worker that is over its own',
  async t => {
    const site = await buildSite({workers: 1});
    await overfill(site, site.workers);
    const need = {cpuMillis: 500, memoryMegabytes: 0, accelerators: 0};
    submitStep(site, 'e5', {need, usesLeftovers: true});
    await site.run(1000);
    t.same(site.checker.violations, []);
    const placed = site.events.filter(
      line => line.includes('step-placed') && line.includes('e5.0.0'),
    );
    t.equal(placed.length, 0, 'and none is placed there');
    changeCapacity(site, site.workers[0], CAPACITY);
    await site.run(500);
    t.equal(site.checker.countStarts('e5'), 1);
  },
);

void t.test(
  'workers over their capacity do not hold up advice on the others',
  async t => {
    const site = await buildSite({workers: 4});
    await overfill(site, site.workers.slice(0, 3));
    const need = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 0};
    submitStep(site, 'e6', {need}, ADVISED);
    await site.run(1000);
    t.equal(site.checker.countStarts('e6'), 1);
  },
);

void t.test('a new holder goes by the newest capacity', async t => {
  const site = await buildSite({workers: 2});
  submitStep(site, 'e7', {count: 2, need: {...LARGE_NEED, cpuMillis: 3000}});
  await site.run(500);
  changeCapacity(site, site.workers[0], {...CAPACITY, cpuMillis: 5000});
  const holder = site.holder();
  t.ok(holder);
  site.hosts.filter(host => host === holder).forEach(host => site.kill(host));
  await site.run(GRACE_MILLIS);
  submitStep(site, 'e8', {count: 2, need: {...LARGE_NEED, cpuMillis: 3000}});
  await site.run(2000);
  t.equal(site.checker.countStarts('e7'), 2, 'no run is started again');
  t.equal(site.checker.countStarts('e8'), 2, 'the other worker has room');
  t.same(site.checker.violations, []);
});

void t.test('a run that is being stopped still takes capacity', async t => {
  const site = await buildSite({workers: 1});
  submitStep(site, 'e9', {need: LARGE_NEED});
  await site.run(500);
  changeCapacity(site, site.workers[0], {...CAPACITY, cpuMillis: 6500});
  await site.run(GRACE_MILLIS);
  // The stop order takes effect late.
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () => 3000,
  };
  void site.cancel(site.hosts[0], 'e9');
  await site.run(500);
  site.faultState = {...site.faultState, losesOrderAnswer: () => false};
  submitStep(site, 'ea', {need: {...LARGE_NEED, cpuMillis: 2000}});
  await site.run(8000);
  t.equal(site.checker.countStarts('ea'), 1);
  t.same(site.checker.violations, []);
});

void t.test(
  'no run reserved before the log was out of reach starts by an old capacity',
  async t => {
    const site = await buildSite({workers: 1});
    submitStep(site, 'eb', {need: LARGE_NEED, estimateMillis: 500});
    while (!site.events.some(line => line.includes('step-placed'))) {
      await site.run(1);
    }
    site.faultState = {...site.faultState, logAvailability: () => 'silent'};
    changeCapacity(site, site.workers[0], SMALL);
    await site.run(GRACE_MILLIS);
    site.faultState = {...site.faultState, logAvailability: () => 'answers'};
    await site.run(3000);
    t.same(site.checker.violations, []);
    changeCapacity(site, site.workers[0], CAPACITY);
    await site.run(2000);
    t.equal(site.readJobState(site.hosts[0], 'eb'), 'completed');
  },
);

void t.test(
  'start orders are repeated only while the old capacity counts',
  async t => {
    const site = await buildSite({workers: 1});
    // No order but the third takes effect.
    let orders = 0;
    site.faultState = {
      ...site.faultState,
      losesOrderAnswer: () => ++orders < 3,
      orderDelayMillis: () => 60_000,
    };
    submitStep(site, 'ec', {need: LARGE_NEED});
    while (orders === 0) {
      await site.run(1);
    }
    changeCapacity(site, site.workers[0], SMALL, 1500);
    await site.run(GRACE_MILLIS);
    t.equal(site.checker.countStarts('ec'), 1);
    t.equal(orders, 3);
    t.same(site.checker.violations, []);
  },
);
