import t from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();

/** Cuts the holder and worker-0 off from the log and from all others. */
function cutOffHolder(site: ModelSite): void {
  const holder = site.holder()?.name;
  site.faultState = {
    ...site.faultState,
    logAvailability: host => (host === holder ? 'silent' : 'answers'),
    canCall: (host, worker) => (host === holder) === (worker === 'worker-0'),
  };
}

void t.test(
  'a holder that is cut off from the log lets its leases expire',
  async t => {
    const site = buildModelSite({workers: 3, policies: [POLICY]});
    await site.run(1000);
    const need = {cpuMillis: 7000, memoryMegabytes: 1000, accelerators: 0};
    const step = buildStep({count: 2, need, estimateMillis: 25_000});
    const job = buildJob('00000000000000c8', [step], {
      policy: POLICY,
      receivedAt: 1000,
    });
    void site.submit(site.hosts[0], job);
    await site.run(2000);
    t.equal(site.checker.countStarts(job.id), 2);
    cutOffHolder(site);
    await site.run(30_000);
    t.same(site.checker.violations, []);
    t.ok(site.checker.countStarts(job.id) > 2);
  },
);

void t.test(
  'runs go on while the log is out of reach for some seconds',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    const step = buildStep({count: 2, estimateMillis: 15_000});
    const job = buildJob('00000000000000c9', [step], {
      policy: POLICY,
      receivedAt: 1000,
    });
    void site.submit(site.hosts[0], job);
    await site.run(2000);
    site.faultState = {...site.faultState, logAvailability: () => 'silent'};
    await site.run(8000);
    site.faultState = {...site.faultState, logAvailability: () => 'answers'};
    await site.run(8000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    t.equal(site.checker.countStarts(job.id), 2);
    t.same(site.checker.violations, []);
  },
);
