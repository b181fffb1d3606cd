import t from 'tap';
import {buildJob, buildModelSite, buildStep} from '../../index';

const HOSTS = 6;
/**
 * Time that a partition takes for an append, one at a time. With one append in flight a
 * host, each request is durable after 1.2 s at most.
 */
const APPEND_MILLIS = 200;
/** Time for which callers wait for an answer. */
const DEADLINE_MILLIS = 3000;
const JOBS = 200;
const JOB_INTERVAL_MILLIS = 25;

void t.test(
  'hosts do not crowd a slow log with appends of the same requests',
  async t => {
    const site = buildModelSite({hosts: HOSTS, workers: 4});
    await site.run(1500);
    const freeAt = new Map<number, number>();
    let appends = 0;
    site.log.requestAppendMillis = partition => {
      const {now} = site.clock;
      const until = Math.max(now, freeAt.get(partition) ?? 0) + APPEND_MILLIS;
      freeAt.set(partition, until);
      appends++;
      return until - now;
    };
    let accepted = 0;
    for (let index = 0; index < JOBS; index++) {
      const sentAt = site.clock.now;
      const job = buildJob(`${index}`, [buildStep()], {receivedAt: sentAt});
      void site.submit(site.hosts[index % HOSTS], job).then(answer => {
        const isInTime = site.clock.now - sentAt <= DEADLINE_MILLIS;
        accepted += isInTime && answer?.kind === 'accepted' ? 1 : 0;
      });
      await site.run(JOB_INTERVAL_MILLIS);
    }
    await site.run(DEADLINE_MILLIS);
    t.equal(accepted, JOBS, `${accepted} of ${JOBS}, ${appends} appends`);
  },
);
