import type {Step} from '@samphireramp/jobs';
import t from 'tap';
import type {ModelSite} from '../../index';
import {
  ADVISED_GANGS,
  GANGS,
  IDLE_LIMIT_MILLIS,
  OTHERS,
  buildGangSite,
  submitStep as submit,
} from './gangQueueFixture';

const WORKERS = 8;
const CAPACITY = {cpuMillis: 16_000, memoryMegabytes: 32_000, accelerators: 0};
/** Fits on empty workers, three tasks on each, and not beside another task. */
const WIDE_GANG: Partial<Step> = {
  count: 24,
  isGang: true,
  estimateMillis: 4200,
  need: {cpuMillis: 4200, memoryMegabytes: 3000, accelerators: 0},
};
const OBSTACLE: Partial<Step> = {
  need: {cpuMillis: 4000, memoryMegabytes: 2000, accelerators: 0},
};
const SMALL_JOB: Partial<Step> = {
  count: 4,
  estimateMillis: 1900,
  need: {cpuMillis: 2900, memoryMegabytes: 1400, accelerators: 0},
};
/** Ten of these leave more than half of the site free. */
const LONG_JOB: Partial<Step> = {
  ...SMALL_JOB,
  count: 1,
  estimateMillis: 60_000,
};
const GANG_LIMIT_MILLIS = 5000;
const STEP_MILLIS = 50;

function buildSite(
  actualMillis: Readonly<Record<string, number>> = {},
): Promise<ModelSite> {
  return buildGangSite({workers: WORKERS, capacity: CAPACITY}, actualMillis);
}

/** Submits ten small jobs, one each half second, and returns their longest waits. */
async function listWaits(
  site: ModelSite,
  step: Partial<Step> = SMALL_JOB,
  forMillis = 20_000,
): Promise<number[]> {
  const submittedAt = new Map<string, number>();
  const waits = new Map<string, number>();
  const startAt = site.clock.now;
  while (site.clock.now < startAt + forMillis) {
    const due = Math.floor((site.clock.now - startAt) / 500);
    if (submittedAt.size <= due && submittedAt.size < 10) {
      const id = `d${submittedAt.size}`;
      submittedAt.set(id, site.clock.now);
      submit(site, id, OTHERS, step);
    }
    await site.run(STEP_MILLIS);
    for (const [id, at] of submittedAt) {
      if (site.checker.countStarts(id) === 0) {
        waits.set(id, site.clock.now - at);
      }
    }
  }
  return [...waits.values()];
}

// Guards against a gang that keeps the site for room that never comes.
void t.test(
  'jobs behind a gang that waits for a service are started',
  async t => {
    const site = await buildSite({a0: Infinity});
    submit(site, 'a0', OTHERS, {...OBSTACLE, isService: true});
    await site.run(500);
    submit(site, 'b0', GANGS, WIDE_GANG);
    await site.run(500);
    t.ok(Math.max(...(await listWaits(site))) < IDLE_LIMIT_MILLIS);
    t.equal(site.checker.countStarts('b0'), 0);
  },
);

// Guards against a gang that keeps room from jobs that end before it can use it.
void t.test(
  'jobs that end in time run in the room of a gang that waits for a long task',
  async t => {
    const site = await buildSite();
    submit(site, 'a1', OTHERS, {...OBSTACLE, estimateMillis: 45_000});
    await site.run(500);
    submit(site, 'b1', GANGS, WIDE_GANG);
    await site.run(500);
    t.ok(Math.max(...(await listWaits(site))) < IDLE_LIMIT_MILLIS);
    await site.run(26_000);
    t.equal(site.checker.countStarts('b1'), WIDE_GANG.count);
  },
);

// Guards against a gang that keeps an idle site from a job that would end after it begins.
void t.test(
  'jobs that last longer than a gang waits are started on an idle site',
  async t => {
    for (const isService of [false, true]) {
      const site = await buildSite();
      submit(site, 'a2', OTHERS, {...OBSTACLE, estimateMillis: 30_000});
      await site.run(500);
      submit(site, 'b2', GANGS, WIDE_GANG);
      await site.run(500);
      const step = {...LONG_JOB, isService};
      const waits = await listWaits(site, step, 12_000);
      t.ok(Math.max(...waits) < IDLE_LIMIT_MILLIS);
    }
  },
);

// Guards against room that is kept again and again for what an estimate promises.
void t.test(
  'jobs are started beside a gang that waits for a task with a wrong estimate',
  async t => {
    const site = await buildSite({a3: 60_000});
    submit(site, 'a3', OTHERS, {...OBSTACLE, estimateMillis: 1000});
    await site.run(500);
    submit(site, 'b3', GANGS, WIDE_GANG);
    await site.run(500);
    const step = {...LONG_JOB, estimateMillis: 8000};
    t.ok(Math.max(...(await listWaits(site, step))) < IDLE_LIMIT_MILLIS);
  },
);

// Guards against room that is kept for a gang whose tickets never come.
void t.test(
  'jobs are started behind a gang that fits and gets no tickets',
  async t => {
    const site = await buildSite();
    submit(site, 'a5', OTHERS, {...OBSTACLE, estimateMillis: 3000});
    await site.run(500);
    submit(site, 'b5', ADVISED_GANGS, WIDE_GANG);
    await site.run(500);
    site.faultState = {...site.faultState, answersAdvice: () => false};
    await site.run(2500);
    const waits = await listWaits(site);
    t.ok(Math.max(...waits) < IDLE_LIMIT_MILLIS);
    t.equal(site.checker.countStarts('b5'), 0);
  },
);

// Guards against gangs that keep the site in turn.
void t.test('jobs are started behind several gangs that wait', async t => {
  const site = await buildSite({a6: 60_000, a7: Infinity});
  submit(site, 'a6', OTHERS, {...OBSTACLE, estimateMillis: 1000});
  submit(site, 'a7', OTHERS, {...OBSTACLE, isService: true});
  await site.run(500);
  submit(site, 'b6', GANGS, {...WIDE_GANG, count: 23});
  submit(site, 'b7', GANGS, {...WIDE_GANG, count: 23});
  submit(site, 'b8', GANGS, WIDE_GANG);
  await site.run(500);
  const step = {...LONG_JOB, estimateMillis: 8000};
  t.ok(Math.max(...(await listWaits(site, step))) < IDLE_LIMIT_MILLIS);
});

// Guards against a wide gang that starves behind a stream of small jobs.
void t.test(
  'a wide gang is at work soon beside a stream of small jobs',
  async t => {
    const site = await buildSite();
    let jobs = 0;
    const submitStream = async (untilMillis: number, isOver: () => boolean) => {
      const endAt = site.clock.now + untilMillis;
      while (site.clock.now < endAt && !isOver()) {
        submit(site, `e${jobs++}`, OTHERS, SMALL_JOB);
        await site.run(230);
      }
    };
    await submitStream(5000, () => false);
    submit(site, 'b4', GANGS, WIDE_GANG);
    const submittedAt = site.clock.now;
    await submitStream(
      GANG_LIMIT_MILLIS,
      () => site.checker.countStarts('b4') === WIDE_GANG.count,
    );
    t.equal(site.checker.countStarts('b4'), WIDE_GANG.count);
    t.ok(site.clock.now - submittedAt < GANG_LIMIT_MILLIS);
    t.same(site.checker.violations, []);
  },
);
