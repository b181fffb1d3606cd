import {countPending} from '@samphireramp/intake';
import t from 'tap';
import {
  ModelSite,
  buildJob,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};
const POLICY = buildPolicy();

/** Builds a site with two hosts, on which no run fails. */
function buildSite(workers: number): ModelSite {
  return new ModelSite({
    hosts: 2,
    workers,
    capacity: CAPACITY,
    random: createRandom(1),
    policies: [POLICY],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      fails: () => false,
    }),
  });
}

void t.test('a job counts as pending until a worker starts it', async t => {
  const site = buildSite(2);
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
  for (const {kernel, name} of site.hosts) {
    t.equal(countPending(kernel, POLICY.name), 1, name);
  }
  site.faultState = {...site.faultState, losesOrderAnswer: () => false};
  await site.run(4000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});

void t.test('a new holder finds that a job has started', async t => {
  const site = buildSite(2);
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
  t.equal(countPending(follower.kernel, POLICY.name), 0);
});
