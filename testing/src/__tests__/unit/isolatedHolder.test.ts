import t from 'tap';
import {buildJob, buildModelSite, buildPolicy, buildStep} from '../../index';

const POLICY = buildPolicy();

void t.test(
  'no task starts again while an isolated holder prolongs the lease of its worker',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    const [worker] = site.workers;
    const step = buildStep({estimateMillis: 20_000, dataRack: worker.rack});
    const job = buildJob('00000000000000c5', [step], {
      policy: POLICY,
      receivedAt: 1000,
    });
    void site.submit(site.hosts[0], job);
    await site.run(1000);
    t.equal(worker.countRuns(), 1);
    // The holder reaches this worker only; the other host reaches all else.
    const isolated = site.holder()?.name;
    site.faultState = {
      ...site.faultState,
      logAvailability: host => (host === isolated ? 'silent' : 'answers'),
      canCall: (host, id) => (host === isolated) === (id === worker.id),
    };
    await site.run(14_000);
    t.same(site.checker.violations, []);
  },
);
