import type {Job} from '@samphireramp/jobs';
import t from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

const POLICY = buildPolicy();
const WORKERS = 24;
const JOBS = 60;
const TASKS_PER_JOB = 5;
const TASK_MILLIS = 2200;
const SUBMIT_MILLIS = 12_000;
/** A job is in time if it ends within this time after its submit. */
const IN_TIME_MILLIS = 8000;

/** Builds a site on which no task crashes its worker. */
function buildSite(): ModelSite {
  return buildModelSite({
    workers: WORKERS,
    random: createRandom(1),
    policies: [POLICY],
  });
}

/** Submits jobs evenly; returns the share that ends in time, and of trials. */
async function play(site: ModelSite) {
  const doneInTime = new Set<string>();
  const jobs: Job[] = Array.from({length: JOBS}, (_, index) =>
    buildJob(
      `a${String(index).padStart(15, '0')}`,
      [buildStep({count: TASKS_PER_JOB, estimateMillis: TASK_MILLIS})],
      {policy: POLICY, receivedAt: 1000},
    ),
  );
  jobs.forEach((job, index) => {
    const submitAt = 1000 + (index * SUBMIT_MILLIS) / JOBS;
    site.clock.after(submitAt, () => void site.submit(site.hosts[0], job));
    site.clock.after(submitAt + IN_TIME_MILLIS, () => {
      if (site.readJobState(site.hosts[0], job.id) === 'completed') {
        doneInTime.add(job.id);
      }
    });
  });
  await site.run(1000 + SUBMIT_MILLIS + 4 * IN_TIME_MILLIS);
  const suspected = new Set(
    site.events
      .map(line => JSON.parse(line) as {event: string; subject: string})
      .filter(({event}) => event === 'task-suspected')
      .map(({subject}) => subject),
  );
  const states = jobs.map(({id}) => site.readJobState(site.hosts[0], id));
  return {
    inTimeShare: doneInTime.size / JOBS,
    suspectedShare: suspected.size / (JOBS * TASKS_PER_JOB),
    unfinished: states.filter(state => state !== 'completed'),
  };
}

// Tasks on a rack that loses its power have not crashed it: they must not wait for
// trials, which would occupy a large part of the site.
void t.test('a rack that loses its power makes no suspects', async t => {
  const site = buildSite();
  site.clock.after(7000, () => {
    for (const worker of site.workers) {
      if (worker.rack === 'rack-0') {
        worker.crash();
      }
    }
  });
  const {inTimeShare, suspectedShare, unfinished} = await play(site);
  t.comment(`in time ${inTimeShare}, suspected ${suspectedShare}`);
  t.same(unfinished, []);
  t.equal(suspectedShare, 0);
  t.ok(inTimeShare >= 0.9, `${inTimeShare} in time`);
  t.same(site.checker.violations, []);
});

// A worker that crashes by itself again and again must not turn what runs on it into
// suspects that are tried one by one.
void t.test('a flapping worker brings few tasks into trials', async t => {
  const site = buildSite();
  const [worker] = site.workers;
  worker.crashRecoveryMillis = 1500;
  const flap = () => {
    if (worker.isUp) {
      worker.crash();
    }
    site.clock.after(3000, flap);
  };
  site.clock.after(3000, flap);
  const {inTimeShare, suspectedShare, unfinished} = await play(site);
  t.comment(`in time ${inTimeShare}, suspected ${suspectedShare}`);
  t.same(unfinished, []);
  t.ok(suspectedShare <= 0.1, `${suspectedShare} suspected`);
  t.ok(inTimeShare >= 0.9, `${inTimeShare} in time`);
  t.same(site.checker.violations, []);
});
