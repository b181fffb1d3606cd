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
const JOB_ID = '00000000000000e3';
/** Behind the clock of the life before, so that a lease end of that is far ahead. */
const FIRST_READING_MILLIS = 0;
/** Longer than any lease from a late order lasts. */
const CUT_MILLIS = 30_000;

/** Submits a long task for a worker. */
function submitTask(site: ModelSite, {rack}: ModelWorker): void {
  const step = buildStep({estimateMillis: 40_000, dataRack: rack});
  const receivedAt = site.clock.now;
  void site.submit(
    site.hosts[0],
    buildJob(JOB_ID, [step], {policy: POLICY, receivedAt}),
  );
}

/** Cuts a worker off from all hosts; checks that its task then runs once elsewhere. */
async function checkCutOff(
  t: Test,
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  site.faultState = {
    ...site.faultState,
    canCall: (_, id) => id !== worker.id,
  };
  await site.run(CUT_MILLIS);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 2);
}

void t.test(
  'a task does not run twice if a life that no holder heard carries out its order late',
  async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    const [worker] = site.workers;
    await site.run(30_000);
    const {faultState} = site;
    site.faultState = {
      ...faultState,
      losesOrderAnswer: () => true,
      orderDelayMillis: () => 11_500,
    };
    submitTask(site, worker);
    await site.run(200);
    site.faultState = faultState;
    worker.restart(worker.born + 1, FIRST_READING_MILLIS);
    await checkCutOff(t, site, worker);
  },
);
