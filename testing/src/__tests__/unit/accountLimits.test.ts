import type {ClientAccount, Job, Step} from '@samphireramp/jobs';
import t, {type Test} from 'tap';
import {
  type ModelSite,
  buildAccount,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
/** Limit of `account`, whose tasks need 1000 each. */
const LIMIT = 3000;
const LIMITED = buildAccount('account', {cpuMillis: LIMIT});

let jobCount = 0;

/** Submits a job of an account to the first host that is up. */
function submit(site: ModelSite, account: string, step: Partial<Step>): Job {
  const job = buildJob(
    (jobCount++).toString(16).padStart(16, '0'),
    [buildStep(step)],
    {policy: POLICY, account, receivedAt: site.clock.now},
  );
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  void site.submit(host, job);
  return job;
}

/** Builds a site with three hosts, six workers and room for 48 tasks. */
async function buildSite(
  accounts: readonly ClientAccount[] = [LIMITED],
): Promise<ModelSite> {
  const site = buildModelSite({
    hosts: 3,
    workers: 6,
    policies: [POLICY],
    accounts,
  });
  await site.run(1500);
  return site;
}

function killHolder(site: ModelSite): void {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
}

function reservedCpu(site: ModelSite): number {
  return site.checker.quotas.reservedBy('account', 'cpuMillis');
}

/** Runs a site for a time; returns the greatest CPU that the account reserved. */
async function greatestCpu(site: ModelSite, millis: number): Promise<number> {
  let greatest = 0;
  for (let passed = 0; passed < millis; passed += 10) {
    await site.run(10);
    greatest = Math.max(greatest, reservedCpu(site));
  }
  return greatest;
}

function checkNoViolations(t: Test, site: ModelSite): void {
  t.same(site.checker.violations, []);
  t.same(site.errors, []);
}

// Guards against a limit that counts only what the present holder has ordered.
for (const failure of ['killed', 'cut off from the log'] as const) {
  void t.test(
    `the limit holds if the holder is ${failure} after orders`,
    async t => {
      const site = await buildSite();
      const job = submit(site, 'account', {count: 12, estimateMillis: 4000});
      while (site.checker.countStarts(job.id) === 0) {
        await site.run(1);
      }
      const holder = site.holder();
      if (failure === 'killed') {
        killHolder(site);
      } else {
        site.faultState = {
          ...site.faultState,
          logAvailability: host =>
            host === holder?.name ? 'silent' : 'answers',
        };
      }
      t.equal(await greatestCpu(site, 8000), LIMIT);
      checkNoViolations(t, site);
      t.ok(site.checker.countStarts(job.id) > 3, 'it goes on');
    },
  );
}

// Guards against a next holder that knows nothing of runs that are being stopped.
void t.test('runs of a cancelled job count for the next holder', async t => {
  const site = await buildSite();
  const cancelled = submit(site, 'account', {count: 3, estimateMillis: 60_000});
  await site.run(1000);
  t.equal(reservedCpu(site), LIMIT);
  // No worker with runs can be reached, so that these end with their leases only.
  const busy = site.workers.filter(worker => worker.countRuns() > 0);
  site.faultState = {
    ...site.faultState,
    canCall: (_, id) => busy.every(worker => worker.id !== id),
  };
  void site.cancel(site.hosts[0], cancelled.id);
  await site.run(300);
  t.equal(site.readJobState(site.hosts[0], cancelled.id), 'cancelled');
  killHolder(site);
  const waiting = submit(site, 'account', {count: 6, estimateMillis: 500});
  t.equal(await greatestCpu(site, 5000), LIMIT);
  t.equal(site.checker.countStarts(waiting.id), 0);
  await site.run(20_000);
  t.equal(site.checker.countStarts(waiting.id), 6);
  checkNoViolations(t, site);
});

// Guards against orders that no longer count once they are answered late or never.
void t.test('orders without an answer, carried out late, count', async t => {
  const site = await buildSite();
  const {faultState} = site;
  site.faultState = {
    ...faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () => 1800,
  };
  const job = submit(site, 'account', {count: 12, estimateMillis: 3000});
  const greatest = await greatestCpu(site, 6000);
  site.faultState = faultState;
  t.ok(Math.max(greatest, await greatestCpu(site, 20_000)) <= LIMIT);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
  checkNoViolations(t, site);
});

void t.test(
  'runs on a lost worker count until its lease has expired',
  async t => {
    const site = await buildSite();
    const job = submit(site, 'account', {count: 6, estimateMillis: 3000});
    await site.run(1000);
    const busy = site.workers.filter(worker => worker.countRuns() > 0);
    site.faultState = {
      ...site.faultState,
      canCall: (_, id) => busy.every(worker => worker.id !== id),
    };
    t.equal(await greatestCpu(site, 30_000), LIMIT);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    checkNoViolations(t, site);
  },
);

void t.test(
  'a limit below what runs stops nothing and starts nothing',
  async t => {
    const site = await buildSite();
    const job = submit(site, 'account', {count: 9, estimateMillis: 5000});
    await site.run(1000);
    site.configureAccounts([buildAccount('account', {cpuMillis: 1000})]);
    await site.run(3000);
    t.equal(reservedCpu(site), LIMIT, 'what runs continues');
    await site.run(3000);
    t.equal(await greatestCpu(site, 12_000), 1000);
    site.configureAccounts([LIMITED]);
    t.equal(await greatestCpu(site, 8000), LIMIT);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    checkNoViolations(t, site);
  },
);

// Guards against gangs that start in part, and against what can never start in the
// way of what can.
void t.test(
  'a gang wider than what is left waits; hopeless ones block nobody',
  async t => {
    const site = await buildSite([LIMITED, buildAccount('other')]);
    const gang = {isGang: true, estimateMillis: 1000};
    const hopeless = submit(site, 'account', {...gang, count: 4});
    submit(site, 'account', {count: 2, estimateMillis: 2000});
    await site.run(500);
    const fitting = submit(site, 'account', {...gang, count: 3});
    const other = submit(site, 'other', {count: 20, estimateMillis: 1000});
    await site.run(1000);
    t.equal(site.checker.countStarts(fitting.id), 0);
    t.equal(site.checker.countStarts(other.id), 20);
    t.equal(await greatestCpu(site, 5000), LIMIT);
    t.equal(site.readJobState(site.hosts[0], fitting.id), 'completed');
    t.equal(site.checker.countStarts(hopeless.id), 0);
    checkNoViolations(t, site);
  },
);

// Guards against suspected tasks that are placed beside the limit.
void t.test('tasks that crash workers keep to the limit', async t => {
  const site = buildModelSite({
    workers: 16,
    policies: [POLICY],
    accounts: [buildAccount('account', {cpuMillis: 1000})],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      crashMillis: runId.run === 1 ? 10 : undefined,
      fails: () => false,
    }),
  });
  await site.run(1000);
  const jobs = [1, 2, 3].map(() =>
    submit(site, 'account', {count: 1, estimateMillis: 3000}),
  );
  t.equal(await greatestCpu(site, 60_000), 1000);
  for (const {id} of jobs) {
    t.equal(site.readJobState(site.hosts[0], id), 'completed');
  }
  checkNoViolations(t, site);
});

// Guards against small steps that take what is left of the limit again and again.
void t.test('a gang is placed beside a stream of small jobs', async t => {
  const site = await buildSite();
  submit(site, 'account', {count: 3, estimateMillis: 1500});
  await site.run(500);
  const gang = submit(site, 'account', {count: 3, isGang: true});
  for (let passed = 0; passed < 12_000; passed += 300) {
    submit(site, 'account', {count: 1, estimateMillis: 900});
    await site.run(300);
  }
  t.ok(site.checker.countStarts(gang.id) >= 3);
  checkNoViolations(t, site);
});
