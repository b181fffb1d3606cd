import {RUNS} from '@samphireramp/fleet';
import t from 'tap';
import type {ModelSite} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f5';
const TASK_MILLIS = 10_000;
/** Number of crashes for which a task that alone began last is given up. */
const RESTARTS = 2;
const MAX_WAIT_MILLIS = 5000;

/** Runs the site until a run of the task is ordered; returns its worker. */
async function awaitOrder(site: ModelSite, run: number) {
  for (let millis = 0; millis < MAX_WAIT_MILLIS; millis++) {
    await site.run(1);
    const ordered = [...(site.holder()?.kernel.read(RUNS).values() ?? [])].find(
      ({runId, startOrders}) => runId.run === run && startOrders > 0,
    );
    const worker = site.workers.find(
      ({incarnation}) => incarnation === ordered?.incarnation,
    );
    if (worker !== undefined) {
      return worker;
    }
  }
  return undefined;
}

void t.test(
  'no crash is charged to a run that the next life has started and goes on with',
  async t => {
    const [site] = await buildSiteOfOldWorkers();
    submitTask(site, JOB_ID, TASK_MILLIS);
    for (let run = 1; run <= RESTARTS; run++) {
      const worker = await awaitOrder(site, run);
      // The order is on its way: the next life takes it.
      if (worker !== undefined) {
        beginNextLife(worker);
      }
    }
    await site.run(30_000);
    t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
    t.same(site.checker.violations, []);
  },
);
