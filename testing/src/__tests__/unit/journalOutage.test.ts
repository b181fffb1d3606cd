import t from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const ADVICE = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};
const POLICY = buildPolicy({advice: ADVICE});

/** Runs a site until it has a holder, and then without the journal's partition. */
async function buildSiteWithoutJournal(): Promise<ModelSite> {
  const site = buildModelSite({workers: 4, policies: [POLICY]});
  await site.run(1500);
  site.log.isStreamDown = stream => stream === 'progress';
  await site.run(1000);
  return site;
}

/** Submits a job of two steps to a host. */
function submitJob(site: ModelSite, id: string) {
  const steps = [buildStep({count: 3}), buildStep({count: 2, after: [0]})];
  const receivedAt = site.clock.now;
  const job = buildJob(id, steps, {policy: POLICY, receivedAt});
  void site.submit(site.hosts[0], job);
  return job;
}

void t.test(
  'jobs start and end while only the partition of the journal takes no append',
  async t => {
    const site = await buildSiteWithoutJournal();
    const job = submitJob(site, '00000000000000e0');
    await site.run(3000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    site.log.isStreamDown = () => false;
    await site.run(3000);
    t.equal(site.checker.countStarts(job.id), 5);
    t.same(site.checker.violations, []);
  },
);
