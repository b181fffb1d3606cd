import type {Job, RunId} from '@samphireramp/jobs';
import t from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
const JOB_ID = '00000000000000a7';
const MEMBERS = 3;
const TASK_MILLIS = 4000;
/** Time from the start of a member until it crashes its worker. */
const CRASH_MILLIS = 10;
/** Longer than the members take to start, so that all have when one crashes. */
const LATE_CRASH_MILLIS = 200;
/** More than half of a worker, so that each member has one of its own. */
const MEMBER_CPU_MILLIS = 5000;
const MAX_PLAY_MILLIS = 60_000;
/** By when a charge is recorded; the gang isn't started again as soon. */
const RECORDING_MILLIS = 5;

/** Builds a gang each member of which fills a worker. */
function buildGang(): Job {
  const step = buildStep({
    count: MEMBERS,
    isGang: true,
    estimateMillis: TASK_MILLIS,
    need: {
      cpuMillis: MEMBER_CPU_MILLIS,
      memoryMegabytes: 1000,
      accelerators: 0,
    },
  });
  return buildJob(JOB_ID, [step], {policy: POLICY, receivedAt: 1000});
}

/** Builds a site on which some runs of the gang crash their workers. */
function buildSite(
  crashes: (runId: RunId) => boolean,
  crashMillis = CRASH_MILLIS,
): ModelSite {
  return buildModelSite({
    workers: 8,
    policies: [POLICY],
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      crashMillis: crashes(runId) ? crashMillis : undefined,
      fails: () => false,
    }),
  });
}

/** Runs a site until the gang is over; returns its last state. */
async function awaitEnd(
  site: ModelSite,
  host = site.hosts[0],
): Promise<string | undefined> {
  const endAt = site.clock.now + MAX_PLAY_MILLIS;
  let state: string | undefined;
  while (
    site.clock.now < endAt &&
    state !== 'completed' &&
    state !== 'failed'
  ) {
    await site.run(500);
    state = site.readJobState(host, JOB_ID);
  }
  return state;
}

/** Runs a site with the gang until that is over; returns its last state. */
async function playGang(site: ModelSite): Promise<string | undefined> {
  await site.run(1000);
  void site.submit(site.hosts[0], buildGang());
  return awaitEnd(site);
}

// Guards against a gang that is given up for crashes under different members.
void t.test(
  'a gang goes on after crashes under each member, one after the other',
  async t => {
    for (const crashMillis of [CRASH_MILLIS, LATE_CRASH_MILLIS]) {
      const site = buildSite(({run, index}) => run === index + 1, crashMillis);
      t.equal(await playGang(site), 'completed');
      t.equal(site.checker.crashes.countCaused(JOB_ID), MEMBERS);
      t.same(site.checker.violations, []);
    }
  },
);

// Guards against a guilty member that is cleared as the others survive.
void t.test(
  'a gang is given up after two crashes under one member, whichever it is',
  async t => {
    for (const crashMillis of [CRASH_MILLIS, LATE_CRASH_MILLIS]) {
      for (let member = 0; member < MEMBERS; member++) {
        const site = buildSite(({index}) => index === member, crashMillis);
        t.equal(await playGang(site), 'failed');
        t.equal(site.checker.crashes.countCaused(JOB_ID), 2);
        t.same(site.checker.violations, []);
      }
    }
  },
);

// Guards against crashes under one member that others between them hide.
void t.test('a crash under another member does not clear one', async t => {
  const victims = [0, 1, 0];
  const site = buildSite(({run, index}) => victims[run - 1] === index);
  t.equal(await playGang(site), 'failed');
  t.equal(site.checker.crashes.countCaused(JOB_ID), victims.length);
  t.same(site.checker.violations, []);
});

// Guards against a new holder that takes a crash under one member for one under all.
void t.test(
  'a new holder knows under which member a worker crashed',
  async t => {
    for (const isSameMember of [false, true]) {
      const startedRuns = new Set<number>();
      const site = buildSite(({run, index}) => {
        startedRuns.add(run);
        const starts = [...startedRuns].indexOf(run);
        return starts < 2 && index === (isSameMember ? 0 : starts);
      });
      await site.run(1000);
      void site.submit(site.hosts[0], buildGang());
      while (!site.events.some(line => line.includes('task-suspected'))) {
        await site.run(1);
      }
      await site.run(RECORDING_MILLIS);
      t.equal(site.checker.countStarts(JOB_ID), MEMBERS);
      const holder = site.holder() ?? site.hosts[0];
      site.kill(holder);
      const follower = site.hosts.find(host => host !== holder) ?? holder;
      const state = await awaitEnd(site, follower);
      t.equal(state, isSameMember ? 'failed' : 'completed');
      t.equal(site.checker.crashes.countCaused(JOB_ID), 2);
      t.same(site.checker.violations, []);
    }
  },
);
