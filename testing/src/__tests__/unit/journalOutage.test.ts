import t from 'tap';
import {snapshotOf} from '../../site/ModelLog';
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

void t.test(
  'a new holder starts nothing twice that is recorded in the reserve journal alone',
  async t => {
    const site = await buildSiteWithoutJournal();
    const job = submitJob(site, '00000000000000e1');
    await site.run(400);
    const started = site.checker.countStarts(job.id);
    t.ok(started > 0);
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
    }
    site.log.isStreamDown = () => false;
    await site.run(6000);
    const other = site.hosts.find(host => host.isUp) ?? site.hosts[0];
    t.equal(site.readJobState(other, job.id), 'completed');
    t.equal(site.checker.countStarts(job.id), 5);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'the reserve journal keeps nothing that the journal has again',
  async t => {
    const site = await buildSiteWithoutJournal();
    submitJob(site, '00000000000000e2');
    await site.run(1000);
    const keysInReserve = () =>
      snapshotOf(site.log.records('reserve', 0)).map(({key}) => key);
    t.ok(keysInReserve().includes('job.00000000000000e2'));
    site.log.isStreamDown = () => false;
    await site.run(3000);
    t.same(keysInReserve(), ['holder']);
  },
);

void t.test(
  'a take-over does not wait for a reserve journal that the holder could not read',
  async t => {
    const site = buildModelSite({workers: 4, policies: [POLICY]});
    await site.run(1500);
    site.log.isStreamDown = stream => stream === 'reserve';
    await site.run(1500);
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
    }
    await site.run(1500);
    t.ok(site.holder());
    t.not(site.holder(), holder);
  },
);

void t.test('a host that follows one that resigned needs no fence', async t => {
  const site = buildModelSite({workers: 4, policies: [POLICY]});
  await site.run(1500);
  const holder = site.holder();
  if (holder !== undefined) {
    site.stop(holder, 1000);
  }
  await site.run(1000);
  t.ok(site.holder());
  t.not(site.holder(), holder);
  t.notOk(site.events.some(event => event.includes('fencing-began')));
});
