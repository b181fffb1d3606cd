import t, {type Test} from 'tap';
import type {ModelSite} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  setCutOff,
  submitTask,
} from './nextLifeFixture';

const JOB_ID = '00000000000000f4';
const TASK_MILLIS = 500;
const ORDER_DELAY_MILLIS = 5000;
/** Time from the submit by when the task has ended, and the late order is still to come. */
const RESTART_MILLIS = 4900;

/** Leaves the first order without an answer; it is carried out late. */
function delayFirstOrder(site: ModelSite): void {
  let orders = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => ++orders === 1,
    orderDelayMillis: () => ORDER_DELAY_MILLIS,
  };
}

/**
 * Has the next life of a worker carry out an order for a task that has ended, while
 * `loseWorker` keeps all holders from polling it; checks that the task ran once.
 */
async function checkLateOrder(
  t: Test,
  loseWorker: (site: ModelSite) => void,
): Promise<void> {
  const [site, worker] = await buildSiteOfOldWorkers();
  delayFirstOrder(site);
  submitTask(site, JOB_ID, TASK_MILLIS);
  await site.run(RESTART_MILLIS);
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  t.equal(site.readJobState(host, JOB_ID), 'completed');
  beginNextLife(worker);
  loseWorker(site);
  await site.run(10_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 1);
}

void t.test(
  'a life that no host holds yet does not carry out an order to the earlier one',
  t =>
    checkLateOrder(t, site => {
      const holder = site.holder();
      if (holder !== undefined) {
        site.kill(holder);
      }
    }),
);

void t.test(
  'a life that is cut off unheard does not carry out an order to the earlier one',
  t => checkLateOrder(t, site => setCutOff(site, true)),
);
