import type {QueuePolicy, Step} from '@samphireramp/jobs';
import t from 'tap';
import {
  ModelSite,
  type ModelSiteOptions,
  buildJob,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const FULL_NEED = {cpuMillis: 7900, memoryMegabytes: 1000, accelerators: 0};
const ADVICE = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};
const URGENT = buildPolicy({name: 'urgent', priority: 0});
const ADVISED = buildPolicy({name: 'advised', priority: 1, advice: ADVICE});
const PATIENT = buildPolicy({name: 'patient', priority: 2});

/** Builds a site on which time has passed until its workers are known. */
async function buildSite(
  workers: number,
  overrides: Partial<ModelSiteOptions> = {},
): Promise<ModelSite> {
  const site = new ModelSite({
    hosts: 2,
    workers,
    capacity: CAPACITY,
    random: createRandom(1),
    policies: [URGENT, ADVISED, PATIENT],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      fails: () => false,
    }),
    ...overrides,
  });
  await site.run(1000);
  return site;
}

/** Submits a job of one step, which runs for a minute unless it says else. */
function submitStep(
  site: ModelSite,
  id: string,
  policy: QueuePolicy,
  step: Partial<Step>,
): void {
  const steps = [buildStep({estimateMillis: 60_000, ...step})];
  const receivedAt = site.clock.now;
  void site.submit(site.hosts[0], buildJob(id, steps, {policy, receivedAt}));
}

void t.test(
  'a waiting step is logged with what gangs ahead reserve',
  async t => {
    const site = await buildSite(5);
    const need = {...FULL_NEED, cpuMillis: 6000};
    submitStep(site, 'c0', URGENT, {count: 3, need: FULL_NEED});
    await site.run(300);
    submitStep(site, 'c1', ADVISED, {count: 3, need, isGang: true});
    await site.run(300);
    submitStep(site, 'c2', PATIENT, {need});
    await site.run(6000);
    const waitEvents = site.events.filter(line => line.includes('step-waits'));
    t.match(
      waitEvents.find(line => line.includes('c2.0.0')),
      /2 tasks fit, 5 valid tickets, 1 gangs ahead reserve 2 tasks and leave 0 for c1\.0\.0 \(since \d+ ms, for \d+ ms more\)"/,
    );
  },
);

/** Lists how many workers each answered request of a step named. */
function listAdvisedCounts(site: ModelSite, step: string): number[] {
  return site.events
    .map(
      line =>
        JSON.parse(line) as {event: string; subject: string; detail: string},
    )
    .filter(({event, subject}) => event === 'advised' && subject === step)
    .map(({detail}) => Number(/of (\d+)$/.exec(detail)?.[1]));
}

void t.test('the first request names workers with room', async t => {
  // More workers than one request names; the first ones are full.
  const site = await buildSite(130);
  submitStep(site, 'c3', URGENT, {count: 100, need: FULL_NEED});
  await site.run(300);
  submitStep(site, 'c4', ADVISED, {need: FULL_NEED});
  await site.run(300);
  t.equal(site.checker.countStarts('c4'), 1);
  t.equal(listAdvisedCounts(site, 'c4.0.0').length, 1);
});

void t.test('a gang renews the tickets of the workers it will use', async t => {
  const site = await buildSite(20);
  // Each task runs longer than a ticket is valid.
  const blocker = {count: 20, need: FULL_NEED, estimateMillis: 4000};
  submitStep(site, 'c5', URGENT, blocker);
  await site.run(300);
  const need = {...FULL_NEED, cpuMillis: 6000};
  submitStep(site, 'c6', ADVISED, {count: 4, need, isGang: true});
  await site.run(6000);
  t.equal(site.checker.countStarts('c6'), 4);
  const counts = listAdvisedCounts(site, 'c6.0.0');
  t.equal(counts.length, 2, 'one further request');
  t.ok(counts[1] < 10, `it names ${counts[1]} workers`);
});

void t.test('gangs that do not fit yet leave room for other steps', async t => {
  const site = await buildSite(10);
  submitStep(site, 'c7', URGENT, {count: 5, need: FULL_NEED});
  await site.run(300);
  for (const [id, cpuMillis] of [
    ['c8', 4500],
    ['c9', 2500],
  ] as const) {
    const need = {...FULL_NEED, cpuMillis};
    submitStep(site, id, ADVISED, {count: 7, need, isGang: true});
    await site.run(300);
  }
  submitStep(site, 'ca', PATIENT, {need: {...FULL_NEED, cpuMillis: 2000}});
  await site.run(1000);
  t.equal(site.checker.countStarts('ca'), 1);
});

void t.test(
  'steps that await advice on full workers hold up none for other workers',
  async t => {
    const slowAdvice = {...ADVICE, decisionMillis: 800};
    const wide = buildPolicy({name: 'wide', priority: 1, advice: slowAdvice});
    const small = buildPolicy({name: 'small', priority: 2, advice: ADVICE});
    const site = await buildSite(8, {
      hosts: 8,
      policies: [URGENT, wide, small],
    });
    await site.run(1000);
    const [{rack: fullRack}] = site.workers;
    const onFullRack = site.workers.filter(({rack}) => rack === fullRack);
    const other = site.workers.find(({rack}) => rack !== fullRack);
    submitStep(site, 'd0', URGENT, {
      count: onFullRack.length,
      need: FULL_NEED,
      requiredLabel: fullRack,
    });
    await site.run(500);
    submitStep(site, 'd1', wide, {count: 200, requiredLabel: fullRack});
    await site.run(200);
    submitStep(site, 'd2', small, {requiredLabel: other?.rack});
    await site.run(300);
    t.equal(site.checker.countStarts('d2'), 1);
  },
);
