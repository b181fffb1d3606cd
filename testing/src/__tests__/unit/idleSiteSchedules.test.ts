import type {Job} from '@samphireramp/jobs';
import t from 'tap';
import {
  IdleSiteLedger,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

/** Number of random schedules to run, and the seed of the first. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 4);
const FIRST_SEED = Number(process.env['SITE_SEED'] ?? 860_001);
const CAPACITY = {cpuMillis: 16_000, memoryMegabytes: 32_000, accelerators: 0};
const WORKERS = 8;
const TRAFFIC_MILLIS = 20_000;
const SCHEDULE_MILLIS = 40_000;
const CHECK_INTERVAL_MILLIS = 50;
const POLICIES = [
  buildPolicy({name: 'urgent', priority: 0}),
  buildPolicy({name: 'gangs', priority: 1}),
  buildPolicy({
    name: 'advised-gangs',
    priority: 1,
    advice: {decisionMillis: 50, perWorkerMillis: 2, validityMillis: 2000},
  }),
  buildPolicy({name: 'others', priority: 2}),
];

/** Draws jobs of unlike durations, some with wrong estimates or without an end. */
function drawJobs(random: () => number) {
  const between = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const pick = <Type>(list: readonly Type[]): Type =>
    list[Math.floor(random() * list.length)];
  const actualMillis = new Map<string, number>();
  const jobs: Job[] = [];
  for (let index = 0; index < 30; index++) {
    const id = index.toString(16).padStart(16, '0');
    const isGang = random() < 0.3;
    const isService = !isGang && random() < 0.15;
    const estimateMillis = pick([300, 1900, 4000, 12_000, 45_000]);
    const workMillis =
      random() < 0.3 ? estimateMillis * pick([0.2, 3, 10]) : estimateMillis;
    actualMillis.set(id, isService ? Infinity : workMillis);
    const step = buildStep({
      count: isGang ? between(4, 24) : between(1, 4),
      isGang,
      isService,
      estimateMillis: random() < 0.1 ? 0 : estimateMillis,
      need: {
        cpuMillis: pick([500, 1500, 2900, 4200]),
        memoryMegabytes: pick([500, 1500, 3000]),
        accelerators: 0,
      },
    });
    const policy = isGang ? pick(POLICIES.slice(1, 3)) : pick(POLICIES);
    const receivedAt = between(2000, TRAFFIC_MILLIS);
    jobs.push(buildJob(id, [step], {policy, receivedAt}));
  }
  return {jobs, actualMillis};
}

/** Runs one schedule without faults; returns what waited beside an idle site. */
async function runSchedule(seed: number) {
  const random = createRandom(seed);
  const {jobs, actualMillis} = drawJobs(random);
  const site = buildModelSite({
    workers: WORKERS,
    capacity: CAPACITY,
    policies: POLICIES,
    random,
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: actualMillis.get(job.id) ?? 0,
      fails: () => false,
    }),
  });
  const ledger = new IdleSiteLedger(site.workers);
  for (const job of jobs) {
    site.clock.after(job.receivedAt, () => {
      ledger.onSubmitted(job);
      void site.submit(site.hosts[0], job);
    });
  }
  while (site.clock.now < SCHEDULE_MILLIS) {
    await site.run(CHECK_INTERVAL_MILLIS);
    ledger.check(site.clock.now, id => site.readJobState(site.hosts[0], id));
  }
  return {ledger, site};
}

// Guards against room that is kept from jobs on a site most of which is free.
void t.test('no job waits for long beside an idle site', async t => {
  for (let index = 0; index < SCHEDULE_COUNT; index++) {
    const seed = FIRST_SEED + index;
    const {ledger, site} = await runSchedule(seed);
    t.same([...ledger.lostJobs], [], `LOST with seed ${seed}`);
    t.same(site.checker.violations, [], `violations with seed ${seed}`);
    t.same(site.errors, [], `errors with seed ${seed}`);
  }
});
