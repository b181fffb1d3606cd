import {RUNS} from '@samphireramp/fleet';
import t from 'tap';
import {snapshotOf} from '../../site/ModelLog';
import {type ModelSite, buildJob, buildModelSite, buildStep} from '../../index';

const JOB_ID = '00000000000000f0';

/** Runs a job to its end on a model site, and some seconds longer. */
async function buildSiteAfterJob(): Promise<ModelSite> {
  const site = buildModelSite();
  await site.run(1000);
  const job = buildJob(JOB_ID, [buildStep()], {receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(10_000);
  t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
  return site;
}

function requestsIn(site: ModelSite): string[] {
  return [0, 1].flatMap(partition =>
    snapshotOf(site.log.records('requests', partition)).map(({key}) => key),
  );
}

async function replaceHolder(site: ModelSite): Promise<void> {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
  await site.run(4000);
}

void t.test(
  'a new holder need not read the requests of ended jobs',
  async t => {
    const site = await buildSiteAfterJob();
    t.same(requestsIn(site), []);
    await replaceHolder(site);
    const other = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
    t.equal(site.readJobState(other, JOB_ID), 'completed');
    t.equal(other.kernel.read(RUNS).size, 0);
  },
);

void t.test(
  'a request that arrives again after its deletion runs nothing',
  async t => {
    const site = await buildSiteAfterJob();
    const [request] = site.log
      .records('requests', 0)
      .concat(site.log.records('requests', 1))
      .filter(({value}) => value.length > 0);
    site.log.put('requests', request.key, request.value);
    await site.run(1000);
    await replaceHolder(site);
    t.equal(site.checker.countStarts(JOB_ID), 1);
    await site.run(8000);
    t.same(requestsIn(site), []);
    t.same(site.checker.violations, []);
  },
);
