import t from 'tap';
import {buildJob, buildModelSite, buildStep} from '../../index';

/** Partition of requests that is out of reach. */
const LOST_PARTITION = 0;

void t.test(
  'a take-over serves the other jobs while one partition of requests is out of reach',
  async t => {
    const site = buildModelSite({workers: 4});
    await site.run(1500);
    site.log.isStreamDown = (stream, partition) =>
      stream === 'requests' && partition === LOST_PARTITION;
    await site.run(1000);
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
    }
    await site.run(2500);
    t.ok(site.holder(), 'another host holds the site');
    const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
    const jobs = Array.from({length: 8}, (_, index) =>
      buildJob(`00000000000000${index}f`, [buildStep()], {
        receivedAt: site.clock.now,
      }),
    );
    jobs.forEach(job => void site.submit(host, job));
    await site.run(3000);
    const started = jobs.filter(({id}) => site.checker.countStarts(id) > 0);
    t.ok(
      started.length > 0,
      `${started.length} of ${jobs.length} jobs started`,
    );
    site.log.isStreamDown = () => false;
    await site.run(3000);
    t.ok(jobs.every(({id}) => site.checker.countStarts(id) === 1));
    t.same(site.checker.violations, []);
  },
);
