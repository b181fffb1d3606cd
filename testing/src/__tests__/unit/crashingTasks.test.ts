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
/** Time from the start of a task until it crashes its worker. */
const CRASH_MILLIS = 10;

/** Builds a site on which the tasks of the given jobs crash their workers. */
function buildSite(crashingJobs: readonly string[], workers = 8): ModelSite {
  return buildModelSite({
    workers,
    policies: [POLICY],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      crashMillis:
        crashingJobs.includes(job.id) && runId.index === 0
          ? CRASH_MILLIS
          : undefined,
      fails: () => false,
    }),
  });
}

function buildJobs(prefix: string, count: number, tasks: number): Job[] {
  return Array.from({length: count}, (_, index) =>
    buildJob(
      `${prefix}${String(index).padStart(15, '0')}`,
      [buildStep({count: tasks, estimateMillis: 4000})],
      {policy: POLICY, receivedAt: 1000},
    ),
  );
}

function submitAll(site: ModelSite, jobs: readonly Job[]): void {
  for (const job of jobs) {
    void site.submit(site.hosts[0], job);
  }
}

void t.test('a task that crashes its workers is given up', async t => {
  const [job] = buildJobs('a', 1, 2);
  const site = buildSite([job.id]);
  await site.run(1000);
  submitAll(site, [job]);
  await site.run(30_000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'failed');
  t.equal(site.checker.crashes.countCaused(job.id), 2);
  t.same(site.checker.violations, []);
});

void t.test(
  'a task is given up although its workers are back after their lease',
  async t => {
    const [job] = buildJobs('a', 1, 2);
    const site = buildSite([job.id]);
    for (const worker of site.workers) {
      worker.crashRecoveryMillis = 8000;
    }
    await site.run(1000);
    submitAll(site, [job]);
    await site.run(50_000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'failed');
    t.equal(site.checker.crashes.countCaused(job.id), 2);
    t.same(site.checker.violations, []);
  },
);

void t.test('a gang that crashes its workers is given up', async t => {
  const step = buildStep({count: 3, isGang: true, estimateMillis: 4000});
  const job = buildJob('b000000000000000', [step], {
    policy: POLICY,
    receivedAt: 1000,
  });
  const site = buildSite([job.id]);
  await site.run(1000);
  submitAll(site, [job]);
  await site.run(30_000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'failed');
  t.same(site.checker.violations, []);
});

void t.test(
  'tasks beside one that crashes workers are not given up',
  async t => {
    const crashing = buildJobs('c', 3, 1);
    const others = buildJobs('d', 8, 5);
    const site = buildSite(crashing.map(({id}) => id));
    await site.run(1000);
    submitAll(site, [...others.slice(4), ...crashing, ...others.slice(0, 4)]);
    await site.run(60_000);
    for (const {id} of crashing) {
      t.equal(site.readJobState(site.hosts[0], id), 'failed', id);
    }
    for (const {id} of others) {
      t.equal(site.readJobState(site.hosts[0], id), 'completed', id);
    }
    t.same(site.checker.violations, []);
  },
);

void t.test('a new holder knows the crashes under a task', async t => {
  const [job] = buildJobs('e', 1, 1);
  const site = buildSite([job.id]);
  await site.run(1000);
  submitAll(site, [job]);
  while (site.checker.countStarts(job.id) < 2) {
    await site.run(1);
  }
  const holder = site.holder() ?? site.hosts[0];
  site.kill(holder);
  await site.run(30_000);
  const follower = site.hosts.find(host => host !== holder) ?? holder;
  t.equal(site.readJobState(follower, job.id), 'failed');
  t.ok(site.checker.crashes.countCaused(job.id) <= 3);
  t.same(site.checker.violations, []);
});

void t.test(
  'a task whose workers restart long after its start goes on',
  async t => {
    const [job] = buildJobs('f', 1, 1);
    const site = buildSite([], 2);
    await site.run(1000);
    submitAll(site, [job]);
    for (let restart = 0; restart < 4; restart++) {
      const starts = site.checker.countStarts(job.id);
      while (site.checker.countStarts(job.id) === starts) {
        await site.run(1);
      }
      await site.run(1500);
      for (const worker of site.workers.filter(each => each.countRuns() > 0)) {
        worker.restart();
        site.writeRegistryEntry(worker);
      }
    }
    await site.run(10_000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    t.same(site.checker.violations, []);
  },
);
