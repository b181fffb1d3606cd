import t, {type Test} from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
const JOB_ID = '00000000000000d1';
/** More than a worker lists in one answer. */
const TASK_COUNT = 720;
const WORK_MILLIS = 4000;

/** Builds a site whose log stores a placement before a worker answers a poll. */
function buildSite(): ModelSite {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  site.log.otherAppendMillis = () => 1;
  return site;
}

/** Has one worker run all tasks of a job, and returns it. */
async function startTasks(t: Test, site: ModelSite): Promise<ModelWorker> {
  await site.run(1000);
  const [worker] = site.workers;
  const step = buildStep({
    count: TASK_COUNT,
    need: {cpuMillis: 10, memoryMegabytes: 10, accelerators: 0},
    estimateMillis: WORK_MILLIS,
    dataRack: worker.rack,
  });
  const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(2000);
  t.equal(worker.countRuns(), TASK_COUNT);
  return worker;
}

/** Cuts a worker off from all hosts for a time, in which its runs end. */
async function cutOff(
  t: Test,
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  const {faultState} = site;
  site.faultState = {...faultState, canCall: (_, id) => id !== worker.id};
  await site.run(3500);
  t.equal(worker.countRuns(), 0);
  site.faultState = faultState;
}

/** Checks that each task ran once, and that the job is known to be completed. */
async function checkEachRanOnce(t: Test, site: ModelSite): Promise<void> {
  await site.run(10_000);
  t.same(site.checker.violations.slice(0, 3), []);
  t.equal(site.checker.countStarts(JOB_ID), TASK_COUNT);
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  t.equal(site.readJobState(host, JOB_ID), 'completed');
}

void t.test(
  'no task starts again whose end is not among those that an answer lists',
  async t => {
    const site = buildSite();
    const worker = await startTasks(t, site);
    await cutOff(t, site, worker);
    await checkEachRanOnce(t, site);
  },
);

void t.test(
  'no task starts again whose end is not among those that a new holder reads first',
  async t => {
    const site = buildSite();
    const worker = await startTasks(t, site);
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
    }
    await cutOff(t, site, worker);
    await checkEachRanOnce(t, site);
  },
);
