import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildStep,
  createRandom,
} from '@samphireramp/testing';
import t from 'tap';

/** True duration of a task. */
const TASK_MILLIS = 400;
const JOB_INTERVAL_MILLIS = 50;
const WORKERS = 6;

/** A site on which estimates are off by 0.9, and 3% of the runs take 7 times as long. */
function buildLoadedSite(seed: number, changeMillis: () => number) {
  const random = createRandom(seed);
  const site = buildModelSite({
    workers: WORKERS,
    random,
    script: (job, {step, index}) => ({
      step: job.steps[step],
      workMillis: Number(job.input.split(',')[index]),
      fails: () => false,
    }),
  });
  let jobs = 0;
  return {
    site,
    /** Submits a job of three tasks at an interval; all workers are in use. */
    load: async (millis: number) => {
      for (let rest = millis; rest > 0; rest -= JOB_INTERVAL_MILLIS) {
        const step = buildStep({
          count: 3,
          estimateMillis: TASK_MILLIS * (0.1 + 1.8 * random()),
        });
        const works = Array.from({length: 3}, () =>
          Math.round(
            changeMillis() * (0.9 + 0.2 * random()) * (random() < 0.03 ? 7 : 1),
          ),
        );
        const input = works.join(',');
        const job = buildJob(`${jobs++}`, [step], {input});
        void site.submit(site.hosts[0], job);
        await site.run(JOB_INTERVAL_MILLIS);
      }
    },
  };
}

/** Counts events by name and detail since a time. */
function countEvents(site: ModelSite, pattern: RegExp, since: number): number {
  return site.events.filter(
    line => pattern.test(line) && JSON.parse(line).at >= since,
  ).length;
}

/** Share of the placements since a time that include a worker. */
function placedShare(site: ModelSite, worker: string, since: number): number {
  const onWorker = new RegExp(`"step-placed".*"worker":"[^"]*${worker}@`);
  return (
    countEvents(site, onWorker, since) / countEvents(site, /step-placed/, since)
  );
}

void t.test('a slow worker gets little until it is fast again', async t => {
  for (let seed = 1; seed <= 2; seed++) {
    const {site, load} = buildLoadedSite(seed, () => TASK_MILLIS);
    await load(4000);
    const [slow] = site.workers;
    slow.speed = 0.2;
    await load(4000);
    t.ok(countEvents(site, /avoided.*worker-0.*"slow"/, 4000) > 0);
    const shareBefore = placedShare(site, 'worker-0', 0);
    const slowSince = site.clock.now;
    await load(4000);
    const shareWhileSlow = placedShare(site, 'worker-0', slowSince);
    slow.speed = 1;
    await load(8000);
    const normalSince = site.clock.now;
    await load(4000);
    const shareAfter = placedShare(site, 'worker-0', normalSince);
    const shares = `${shareBefore}, ${shareWhileSlow}, ${shareAfter}`;
    t.ok(shareWhileSlow < shareBefore / 2, `seed ${seed}: ${shares}`);
    t.ok(shareAfter > shareBefore / 2, `seed ${seed}: ${shares}`);
    await site.run(4000);
    t.same(site.checker.violations, []);
    t.same(site.errors, []);
  }
});

void t.test(
  'long runs and a common change are no fault of workers',
  async t => {
    for (let seed = 1; seed <= 2; seed++) {
      let millis = TASK_MILLIS;
      const {site, load} = buildLoadedSite(seed, () => millis);
      await load(6000);
      t.equal(countEvents(site, /avoided/, 0), 0, `seed ${seed}`);
      millis *= 10;
      await load(4000);
      await site.run(12_000);
      t.equal(countEvents(site, /run-stopping/, 0), 0, `seed ${seed}`);
      // The first runs of a common change look like a fault of the workers they end on.
      t.ok(countEvents(site, /avoided/, 0) <= WORKERS / 4, `seed ${seed}`);
      t.same(site.checker.violations, []);
    }
  },
);

void t.test('a worker that fails or stalls is tried with few runs', async t => {
  for (const fault of ['failsAllRuns', 'isStalled'] as const) {
    const {site, load} = buildLoadedSite(1, () => TASK_MILLIS);
    await load(4000);
    const [faulty] = site.workers;
    faulty[fault] = true;
    await load(4000);
    const faultySince = site.clock.now;
    await load(4000);
    const shareWhileFaulty = placedShare(site, 'worker-0', faultySince);
    faulty[fault] = false;
    await load(12_000);
    const normalSince = site.clock.now;
    await load(4000);
    const shareAfter = placedShare(site, 'worker-0', normalSince);
    const shares = `${fault}: ${shareWhileFaulty}, ${shareAfter}`;
    t.ok(shareWhileFaulty < shareAfter / 2, shares);
    await site.run(4000);
    t.same(site.errors, []);
  }
});
