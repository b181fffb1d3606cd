import {WORKERS} from '@samphireramp/fleet';
import type {Request} from '@samphireramp/intake';
import type {Job, Step} from '@samphireramp/jobs';
import {encodeRequest} from '@samphireramp/record-codec';
import t from 'tap';
import {
  type ModelSite,
  type ModelSiteOptions,
  buildAccount,
  buildJob,
  buildModelSite,
  buildStep,
  readAnswers,
} from '../../index';

/** Partition of requests that the next holder can't read, and the other one. */
const LOST = 0;
const READ = 1;
/** More than half of a worker, so that two of these tasks don't fit on one. */
const LARGE = {cpuMillis: 6000, memoryMegabytes: 1000, accelerators: 0};

/** Builds a site with three hosts that has a holder. */
async function buildSite(
  overrides: Partial<ModelSiteOptions> = {},
): Promise<ModelSite> {
  const site = buildModelSite({hosts: 3, workers: 2, ...overrides});
  await site.run(1500);
  return site;
}

/** Writes a request to a partition, as a host does that accepts it. */
function putRequest(site: ModelSite, partition: number, request: Request) {
  const records = [encodeRequest(request)];
  site.log.applyAppend({stream: 'requests', partition, records});
}

/** Writes a job to a partition, and has it watched. */
function putJob(
  site: ModelSite,
  partition: number,
  id: string,
  steps: readonly Step[],
  account = '',
): Job {
  const receivedAt = site.clock.now;
  const job = buildJob(id, steps, {receivedAt, account});
  const submitted = site.checker.registerJob(job);
  submitted.isRefused = false;
  submitted.acceptedAt ??= site.clock.now;
  putRequest(site, partition, {kind: 'submit', job});
  return job;
}

/** Writes the cancel of a job to a partition. */
function putCancel(site: ModelSite, partition: number, {id: jobId}: Job) {
  const submitted = site.checker.jobs.get(jobId);
  if (submitted !== undefined) {
    submitted.isCancelRequested = true;
    submitted.cancelledAt ??= site.clock.now;
  }
  putRequest(site, partition, {
    kind: 'cancel',
    jobId,
    receivedAt: site.clock.now,
    account: undefined,
  });
}

function killHolder(site: ModelSite): void {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
}

/** Puts one partition of requests out of reach, and has another host take over. */
async function replaceHolderWithoutPartition(site: ModelSite): Promise<void> {
  site.log.isStreamDown = (stream, partition) =>
    stream === 'requests' && partition === LOST;
  killHolder(site);
  await site.run(2500);
}

function regainPartition(site: ModelSite): void {
  site.log.isStreamDown = () => false;
}

function stateOf(site: ModelSite, {id}: Job) {
  return site.readJobState(site.holder() ?? site.hosts[0], id);
}

/** Whether the holder has acknowledged all ends that workers reported to it. */
function areEndsAcknowledged(site: ModelSite): boolean {
  const workers = site.holder()?.kernel.read(WORKERS).values() ?? [];
  return [...workers].every(
    ({appliedEnd, durableEnd}) => appliedEnd > 0 && durableEnd === appliedEnd,
  );
}

/** Number of runs on all workers. */
function countRuns(site: ModelSite): number {
  return site.workers.reduce((sum, worker) => sum + worker.countRuns(), 0);
}

void t.test(
  'a slow partition is waited for, as it may have the cancel of a job',
  async t => {
    const site = await buildSite();
    killHolder(site);
    site.log.isStreamSlow = (stream, partition) =>
      stream === 'requests' && partition === LOST;
    const cancelled = putJob(site, READ, '00000000000000a0', [buildStep()]);
    const other = putJob(site, READ, '00000000000000a1', [buildStep()]);
    putCancel(site, LOST, cancelled);
    await site.run(6000);
    t.ok(site.holder());
    t.equal(site.checker.countStarts(other.id), 0);
    site.log.isStreamSlow = () => false;
    await site.run(3000);
    t.equal(stateOf(site, cancelled), 'cancelled');
    t.equal(site.checker.countStarts(cancelled.id), 0);
    t.equal(stateOf(site, other), 'completed');
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'a partition that refuses some reads and is slow otherwise is waited for',
  async t => {
    const site = await buildSite();
    killHolder(site);
    const isPhase = (first: boolean) => site.clock.now % 1000 < 500 === first;
    site.log.isStreamSlow = (stream, partition) =>
      stream === 'requests' && partition === LOST && isPhase(true);
    site.log.isStreamDown = (stream, partition) =>
      stream === 'requests' && partition === LOST && isPhase(false);
    const job = putJob(site, READ, '00000000000000a2', [buildStep()]);
    await site.run(5000);
    t.equal(site.checker.countStarts(job.id), 0);
  },
);

void t.test(
  'a cancel in a partition out of reach takes effect once that is read',
  async t => {
    const site = await buildSite();
    const step = buildStep({count: 3, estimateMillis: 20_000});
    const job = putJob(site, READ, '00000000000000b0', [step]);
    await site.run(500);
    t.equal(countRuns(site), 3);
    site.log.isStreamDown = stream => stream === 'requests';
    putCancel(site, LOST, job);
    await replaceHolderWithoutPartition(site);
    t.equal(countRuns(site), 3);
    regainPartition(site);
    await site.run(500);
    t.equal(stateOf(site, job), 'cancelled');
    t.equal(countRuns(site), 0);
    await site.run(3000);
    t.equal(site.checker.countStarts(job.id), 3);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'a job and its cancel that are both out of reach: its runs stop once both are read',
  async t => {
    const site = await buildSite();
    const step = buildStep({count: 3, estimateMillis: 20_000});
    const job = putJob(site, LOST, '00000000000000b1', [step]);
    await site.run(500);
    site.log.isStreamDown = stream => stream === 'requests';
    putCancel(site, LOST, job);
    await replaceHolderWithoutPartition(site);
    t.equal(countRuns(site), 3);
    regainPartition(site);
    await site.run(500);
    t.equal(stateOf(site, job), 'cancelled');
    t.equal(countRuns(site), 0);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'runs of a job whose request is out of reach go on, and no task starts beside them that does not fit',
  async t => {
    const site = await buildSite();
    const step = buildStep({need: LARGE, estimateMillis: 6000});
    const job = putJob(site, LOST, '00000000000000c0', [step]);
    await site.run(500);
    await replaceHolderWithoutPartition(site);
    const others = ['00000000000000c1', '00000000000000c2'].map(id =>
      putJob(site, READ, id, [buildStep({need: LARGE, estimateMillis: 2000})]),
    );
    await site.run(1000);
    t.equal(countRuns(site), 2, 'one task runs beside that of the unread job');
    t.equal(stateOf(site, job), 'running');
    await site.run(9000);
    t.ok(others.every(({id}) => site.checker.countStarts(id) === 1));
    t.equal(
      stateOf(site, job),
      'running',
      'its end is not known to be its last',
    );
    regainPartition(site);
    await site.run(2000);
    t.equal(stateOf(site, job), 'completed');
    t.equal(site.checker.countStarts(job.id), 1);
    t.ok(areEndsAcknowledged(site));
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'the next holder learns of an end that came while the request was out of reach',
  async t => {
    const site = await buildSite();
    const steps = [
      buildStep({count: 2, isGang: true, estimateMillis: 3500}),
      buildStep({after: [0]}),
    ];
    const job = putJob(site, LOST, '00000000000000d0', steps);
    await site.run(500);
    await replaceHolderWithoutPartition(site);
    await site.run(3000);
    t.equal(countRuns(site), 0);
    killHolder(site);
    await site.run(4000);
    t.equal(stateOf(site, job), 'running');
    regainPartition(site);
    await site.run(3000);
    t.equal(stateOf(site, job), 'completed');
    t.equal(site.checker.countStarts(job.id), 3);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'failures that came while the request was out of reach count as attempts',
  async t => {
    const site = await buildSite({
      script: (job, {step}) => ({
        step: job.steps[step],
        workMillis: job.steps[step].estimateMillis,
        fails: () => true,
      }),
    });
    const step = buildStep({estimateMillis: 3500});
    const job = putJob(site, LOST, '00000000000000d1', [step]);
    await site.run(500);
    await replaceHolderWithoutPartition(site);
    await site.run(3000);
    t.equal(site.checker.countStarts(job.id), 1);
    regainPartition(site);
    await site.run(10_000);
    t.equal(stateOf(site, job), 'failed');
    t.equal(site.checker.countStarts(job.id), job.policy.maxAttempts);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'a job that is handed in again while its request is out of reach stays one job',
  async t => {
    const site = await buildSite();
    const steps = [
      buildStep({count: 2, estimateMillis: 500}),
      buildStep({count: 2, estimateMillis: 8000, after: [0]}),
    ];
    const job = putJob(site, LOST, '00000000000000e0', steps);
    await site.run(1500);
    t.equal(site.checker.countStarts(job.id), 4);
    await replaceHolderWithoutPartition(site);
    putRequest(site, READ, {kind: 'submit', job});
    await site.run(500);
    t.equal(countRuns(site), 2);
    regainPartition(site);
    await site.run(8000);
    t.equal(stateOf(site, job), 'completed');
    t.equal(site.checker.countStarts(job.id), 4);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'another job under the id of one out of reach does not take its place',
  async t => {
    const site = await buildSite();
    const step = buildStep({count: 2, estimateMillis: 5000});
    const job = putJob(site, LOST, '00000000000000e1', [step]);
    await site.run(500);
    await replaceHolderWithoutPartition(site);
    const steps = [buildStep({count: 1}), buildStep({count: 4})];
    const other = buildJob(job.id, steps, {receivedAt: site.clock.now});
    putRequest(site, READ, {kind: 'submit', job: other});
    await site.run(500);
    t.equal(countRuns(site), 2);
    regainPartition(site);
    await site.run(5000);
    t.equal(stateOf(site, job), 'completed');
    t.equal(site.checker.countStarts(job.id), 2);
    t.same(site.checker.violations, []);
    t.same(site.errors, []);
  },
);

void t.test(
  'a lost worker with a run of a job out of reach: the task runs again once it is read',
  async t => {
    const site = await buildSite();
    const step = buildStep({estimateMillis: 4000});
    const job = putJob(site, LOST, '00000000000000f1', [step]);
    await site.run(500);
    await replaceHolderWithoutPartition(site);
    const worker = site.workers.find(each => each.countRuns() > 0);
    worker?.restart();
    if (worker !== undefined) {
      site.writeRegistryEntry(worker);
    }
    await site.run(3000);
    t.equal(site.checker.countStarts(job.id), 1);
    t.not(stateOf(site, job), 'absent');
    regainPartition(site);
    await site.run(14_000);
    t.equal(stateOf(site, job), 'completed');
    t.equal(site.checker.countStarts(job.id), 2);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'runs of a job out of reach count against its account on a worker out of reach',
  async t => {
    const account = 'account';
    const limit = {cpuMillis: LARGE.cpuMillis * 1.5};
    const site = await buildSite({accounts: [buildAccount(account, limit)]});
    const step = buildStep({need: LARGE, estimateMillis: 20_000});
    const job = putJob(site, LOST, '00000000000000f4', [step], account);
    await site.run(500);
    const busy = site.workers.find(each => each.countRuns() > 0);
    site.faultState = {
      ...site.faultState,
      canCall: (_, worker) => worker !== busy?.id,
    };
    await replaceHolderWithoutPartition(site);
    const next = putJob(site, READ, '00000000000000f5', [step], account);
    const other = putJob(site, READ, '00000000000000f6', [buildStep()]);
    await site.run(2000);
    t.equal(site.checker.countStarts(job.id), 1);
    t.equal(site.checker.countStarts(next.id), 0);
    t.equal(site.checker.countStarts(other.id), 1);
    t.same(site.checker.violations, []);
  },
);

void t.test('a host that can not read all requests denies no job', async t => {
  const site = await buildSite();
  const step = buildStep({estimateMillis: 3000});
  const job = putJob(site, LOST, '00000000000000f2', [step]);
  await site.run(200);
  site.log.isStreamDown = stream => stream === 'requests';
  const unknown = putJob(site, LOST, '00000000000000f3', [step]);
  killHolder(site);
  site.log.isStreamDown = (stream, partition) =>
    stream === 'requests' && partition === LOST;
  for (let time = 0; time < 100; time++) {
    await site.run(50);
    for (const host of site.hosts.filter(({isUp}) => isUp)) {
      readAnswers(site, host, job.id, job.policy.name);
      readAnswers(site, host, unknown.id, unknown.policy.name);
    }
  }
  t.same(site.checker.violations, []);
  t.equal(stateOf(site, job), 'running');
  t.equal(stateOf(site, unknown), 'unsure');
});
