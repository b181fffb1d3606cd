import t from 'tap';
import {type ModelSite, buildJob, buildModelSite, buildStep} from '../../index';

const HOSTS = 4;
/** Time that an append takes in the partition that is well. */
const APPEND_MILLIS = 4;
/** Longer than any append waits for an answer. */
const SILENT_MILLIS = 60_000;
const SILENT_PARTITION = 0;
const JOBS = 200;
const JOB_INTERVAL_MILLIS = 20;
/** Time after the last job in which every call has an answer. */
const DRAIN_MILLIS = 5000;
/** An unanswered append is repeated after a quarter of a second, with some room. */
const MAX_ACCEPT_MILLIS = 500;
/** Requests that wait for no repetition are accepted within this time. */
const MAX_PROMPT_MILLIS = 50;

/** Submits jobs one after another and returns the times until they are accepted. */
async function measureAcceptance(site: ModelSite): Promise<number[]> {
  const times: number[] = [];
  for (let index = 0; index < JOBS; index++) {
    const sentAt = site.clock.now;
    const job = buildJob(`${index}`, [buildStep()], {receivedAt: sentAt});
    void site.submit(site.hosts[index % HOSTS], job).then(answer => {
      if (answer?.kind === 'accepted') {
        times.push(site.clock.now - sentAt);
      }
    });
    await site.run(JOB_INTERVAL_MILLIS);
  }
  await site.run(DRAIN_MILLIS);
  return times.sort((a, b) => a - b);
}

void t.test(
  'a silent partition of requests delays few jobs, and these only by a repetition',
  async t => {
    const site = buildModelSite({hosts: HOSTS, workers: 4});
    await site.run(1500);
    site.log.requestAppendMillis = partition =>
      partition === SILENT_PARTITION ? SILENT_MILLIS : APPEND_MILLIS;
    const times = await measureAcceptance(site);
    t.equal(times.length, JOBS, `${times.length} of ${JOBS} accepted`);
    const longest = Math.round(times.at(-1) ?? 0);
    t.ok(longest <= MAX_ACCEPT_MILLIS, `longest ${longest} ms`);
    const delayed = times.filter(millis => millis > MAX_PROMPT_MILLIS).length;
    t.ok(delayed <= JOBS / 4, `${delayed} of ${JOBS} delayed`);
  },
);
