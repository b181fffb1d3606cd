import t from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
const JOB_ID = '00000000000000c1';

/** Runs a long job on a site of two workers, and returns where it runs. */
async function runLongJob(site: ModelSite): Promise<ModelWorker> {
  await site.run(1000);
  const step = buildStep({estimateMillis: 8000});
  const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(1000);
  const worker = site.workers.find(each => each.countRuns() > 0);
  if (worker === undefined) {
    throw new Error('the job has not started');
  }
  return worker;
}

void t.test(
  'no task starts again while its draining worker is only unregistered and silent',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    const worker = await runLongJob(site);
    site.writeRegistryEntry(worker, true);
    await site.run(500);
    site.deleteRegistryEntry(worker);
    await site.run(500);
    // One poll fails; the worker lives on under its lease.
    const {canCall} = site.faultState;
    site.faultState = {
      ...site.faultState,
      canCall: (_, id) => id !== worker.id,
    };
    await site.run(2500);
    site.faultState = {...site.faultState, canCall};
    await site.run(5000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 1);
    t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
  },
);

void t.test(
  'no task starts again while its worker is only unregistered and refuses connections',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    const worker = await runLongJob(site);
    site.faultState = {
      ...site.faultState,
      refusesConnections: id => id === worker.id,
    };
    // A poll that is open is answered, and the next one is refused.
    await site.run(1500);
    site.deleteRegistryEntry(worker);
    await site.run(2500);
    site.faultState = {...site.faultState, refusesConnections: () => false};
    site.writeRegistryEntry(worker);
    await site.run(5000);
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 1);
    t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
  },
);
