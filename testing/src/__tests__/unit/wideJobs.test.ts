import {JOBS} from '@samphireramp/dispatch';
import {RUNS} from '@samphireramp/fleet';
import type {Job} from '@samphireramp/jobs';
import t from 'tap';
import {buildJob, buildModelSite, buildPolicy, buildStep} from '../../index';

const TASKS = 2000;
const NEED = {cpuMillis: 20, memoryMegabytes: 20, accelerators: 0};
const CAPACITY = {cpuMillis: 32_000, memoryMegabytes: 65_536, accelerators: 0};
/** More starts than this at a time would wait for longer than their timeout. */
const MAX_STARTS_UNDER_WAY = 256;

/** Builds a site with room for all tasks, and watches what it places. */
async function buildWideSite() {
  const policies = [buildPolicy(), buildPolicy({name: 'urgent', priority: 0})];
  const site = buildModelSite({workers: 4, capacity: CAPACITY, policies});
  await site.run(1000);
  const watched = {mostPlacedAtOnce: 0, mostUnderWay: 0};
  const holder = site.holder();
  let runsBefore = 0;
  holder?.kernel.registerUpdateListener(() => {
    const runs = [...holder.kernel.read(RUNS).values()];
    const underWay = runs.filter(run => run.confirmedAt === undefined);
    watched.mostPlacedAtOnce = Math.max(
      watched.mostPlacedAtOnce,
      runs.length - runsBefore,
    );
    watched.mostUnderWay = Math.max(watched.mostUnderWay, underWay.length);
    runsBefore = runs.length;
  });
  const wide = buildJob(
    '00000000000000d1',
    [buildStep({count: TASKS, need: NEED})],
    {receivedAt: 1000},
  );
  void site.submit(site.hosts[0], wide);
  return {site, policies, wide, watched};
}

void t.test('a wide job is not placed in one update', async t => {
  const {site, wide, watched} = await buildWideSite();
  await site.run(6000);
  t.equal(site.readJobState(site.hosts[0], wide.id), 'completed');
  t.equal(site.checker.countStarts(wide.id), TASKS);
  t.ok(watched.mostPlacedAtOnce <= MAX_STARTS_UNDER_WAY);
  t.ok(watched.mostUnderWay <= MAX_STARTS_UNDER_WAY);
  t.ok(watched.mostPlacedAtOnce > 0);
});

void t.test('jobs behind a wide one do not wait for its tasks', async t => {
  const {site, policies, wide} = await buildWideSite();
  await site.run(10);
  const small = buildJob('00000000000000d2', [buildStep({need: NEED})], {
    receivedAt: 1010,
  });
  const urgent = buildJob('00000000000000d3', [buildStep({need: NEED})], {
    policy: policies[1],
    receivedAt: 1010,
  });
  void site.submit(site.hosts[0], small);
  void site.submit(site.hosts[0], urgent);
  const hasStarted = ({id}: Job) => site.checker.countStarts(id) > 0;
  for (let millis = 0; millis < 1000; millis++) {
    await site.run(1);
    if (hasStarted(small) && hasStarted(urgent)) {
      break;
    }
  }
  const startsOfWide = site.checker.countStarts(wide.id);
  t.ok(startsOfWide > 0 && startsOfWide < TASKS / 2, String(startsOfWide));
});

void t.test('a job of many due occurrences starts a few of them', async t => {
  const {site} = await buildWideSite();
  const step = buildStep({count: 100, need: NEED, estimateMillis: 60_000});
  const repeated = buildJob('00000000000000d4', [step], {
    receivedAt: 1000,
    occurrences: 1000,
    firstDueAt: 1,
  });
  void site.submit(site.hosts[0], repeated);
  await site.run(500);
  const row = site.holder()?.kernel.read(JOBS).get(repeated.id);
  t.equal(row?.progress.occurrences.length, 50);
});
