import t from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const JOB_ID = '00000000000000f8';
const TASK_MILLIS = 8000;
/** Age from which on a worker can't have a lease from a call to an earlier life. */
const OLD_WORKER_MILLIS = 30_000;
/** Time from the first starts to the cut, whose lease outlasts the tasks. */
const BEFORE_CUT_MILLIS = 4000;
/** By when the task of the worker that is cut off runs again on the other one. */
const CUT_MILLIS = 14_000;

/** Has a worker end a task while it is cut off, and return once that runs again. */
async function endTaskDuringCut(
  site: ModelSite,
  worker: ModelWorker,
): Promise<void> {
  await site.run(BEFORE_CUT_MILLIS);
  const {faultState} = site;
  site.faultState = {...faultState, canCall: (_, id) => id !== worker.id};
  await site.run(CUT_MILLIS);
  // Its end must be the only thing that the next placement learns of it.
  site.writeRegistryEntry(worker, true);
  site.faultState = faultState;
}

void t.test(
  'a run that is being stopped counts against the most tasks of its step on a worker',
  async t => {
    const policy = buildPolicy();
    const site = buildModelSite({workers: 2, policies: [policy]});
    await site.run(OLD_WORKER_MILLIS);
    const [worker] = site.workers;
    const step = buildStep({
      count: 4,
      estimateMillis: TASK_MILLIS,
      mostOnOneWorker: 1,
    });
    const receivedAt = site.clock.now;
    const job = buildJob(JOB_ID, [step], {policy, receivedAt});
    void site.submit(site.hosts[0], job);
    await endTaskDuringCut(site, worker);
    await site.run(4 * TASK_MILLIS);
    t.ok(
      site.events.some(event => event.includes('"detail":"unneeded"')),
      'a run was stopped as its task had ended',
    );
    t.same(site.checker.violations, []);
    t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
  },
);
