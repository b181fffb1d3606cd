import {IS_JOURNAL_FOLLOWED, STANDBYS} from '@samphireramp/job-states';
import t from 'tap';
import {
  type ModelHost,
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy({name: 'queue'});

function buildWideJob(id: string, receivedAt: number, count = 16) {
  const steps = [buildStep({count, estimateMillis: 400})];
  return buildJob(id.padStart(16, '0'), steps, {policy: POLICY, receivedAt});
}

function followersOf(site: ModelSite): ModelHost[] {
  return site.hosts.filter(
    ({isUp, kernel}) => isUp && kernel.read(IS_JOURNAL_FOLLOWED).get(),
  );
}

void t.test('few hosts follow the journal, and every host answers', async t => {
  const site = buildModelSite({hosts: 8, workers: 4, policies: [POLICY]});
  await site.run(2000);
  const holder = site.holder();
  const standbys = holder?.kernel.read(STANDBYS).get() ?? [];
  t.equal(standbys.length, 2);
  const expected = new Set([...standbys, holder?.name]);
  t.same(new Set(followersOf(site).map(({name}) => name)), expected);
  const job = buildWideJob('a1', site.clock.now);
  void site.submit(site.hosts[7], job);
  await site.run(5000);
  for (const host of site.hosts) {
    t.equal(site.readJobState(host, job.id), 'completed', host.name);
  }
  t.same(site.checker.violations, []);
});

void t.test(
  'once all that follow the journal are lost, another host takes over',
  async t => {
    const site = buildModelSite({hosts: 8, workers: 4, policies: [POLICY]});
    await site.run(2000);
    const job = buildWideJob('a2', site.clock.now);
    void site.submit(site.hosts[0], job);
    await site.run(100);
    const lost = followersOf(site);
    lost.forEach(host => site.kill(host));
    await site.run(4000);
    t.notOk(site.holder() === undefined, 'a holder within four seconds');
    await site.run(12_000);
    for (const host of site.hosts.filter(({isUp}) => isUp)) {
      t.equal(site.readJobState(host, job.id), 'completed', host.name);
    }
    t.same(site.checker.violations, []);
    lost.forEach(host => site.restart(host));
    await site.run(4000);
    t.equal(site.readJobState(lost[0], job.id), 'completed');
  },
);

void t.test(
  'job states have at most a fifth of the bytes of the journal',
  async t => {
    const site = buildModelSite({hosts: 3, workers: 4, policies: [POLICY]});
    await site.run(2000);
    const bytesOf = (stream: 'states' | 'progress') =>
      site.log
        .records(stream, 0)
        .reduce((sum, {key, value}) => sum + key.length + value.length, 0);
    const before = {states: bytesOf('states'), progress: bytesOf('progress')};
    // 80 jobs a second, as on the large fleet; one in six is wide.
    for (let index = 0; index < 240; index++) {
      const count = index % 6 === 0 ? 16 : 3;
      const job = buildWideJob(`b${index}`, site.clock.now, count);
      void site.submit(site.hosts[index % 3], job);
      await site.run(12.5);
    }
    await site.run(1000);
    const states = bytesOf('states') - before.states;
    t.ok(
      states * 5 <= bytesOf('progress') - before.progress,
      `${states} bytes`,
    );
  },
);

void t.test('a new holder publishes what its predecessor had not', async t => {
  const site = buildModelSite({hosts: 4, workers: 4, policies: [POLICY]});
  await site.run(2000);
  const earlier = site.holder();
  const job = buildWideJob('c1', site.clock.now);
  // The states of jobs can't be appended, but the journal can.
  const {log} = site;
  const applyAppend = log.applyAppend.bind(log);
  log.applyAppend = request =>
    request.stream === 'states'
      ? {kind: 'refused', detail: 'busy'}
      : applyAppend(request);
  void site.submit(site.hosts[3], job);
  await site.run(3000);
  const others = site.hosts.filter(host => host !== earlier);
  t.notOk(others.some(host => site.readJobState(host, job.id) === 'completed'));
  log.applyAppend = applyAppend;
  if (earlier !== undefined) {
    site.kill(earlier);
  }
  await site.run(4000);
  for (const host of others) {
    t.equal(site.readJobState(host, job.id), 'completed', host.name);
  }
  t.same(site.checker.violations, []);
});
