import t from 'tap';
import {buildJob, buildModelSite, buildStep} from '../../index';

void t.test('a job from a host whose clock is ahead runs at once', async t => {
  const site = buildModelSite();
  await site.run(1000);
  const receivedAt = 1000 + 60_000;
  const job = buildJob('00000000000000b0', [buildStep()], {receivedAt});
  void site.submit(site.hosts[0], job);
  await site.run(2000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});

void t.test('no ended job is forgotten early as a clock jumps', async t => {
  const site = buildModelSite({keepEndedMillis: 120_000});
  await site.run(1000);
  const job = buildJob('00000000000000bf', [buildStep()], {receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(3000);
  const [holder, follower] = [...site.hosts].sort(host =>
    host === site.holder() ? -1 : 1,
  );
  holder.clockOffsetMillis = 3_600_000;
  await site.run(12_000);
  t.equal(site.readJobState(follower, job.id), 'completed');
});
