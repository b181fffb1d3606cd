/** Sites with a worker that carries out start orders when their lease has passed. */
import type {QueuePolicy} from '@samphireramp/jobs';
import type {Test} from 'tap';
import {
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

/** A queue that needs no tickets. */
export const PLAIN_POLICY = buildPolicy();
/** A queue whose tickets outlast the leases in start orders. */
export const TICKET_POLICY = buildPolicy({
  advice: {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 30_000},
});
const JOB_ID = '00000000000000d5';
/** By when the lease in an order has passed, and a silent worker is given up. */
const LAPSED_MILLIS = 7500;
/** Age from which on a worker can't have a lease from a call to an earlier life. */
const OLD_WORKER_MILLIS = 30_000;
/** Time from an order until it is carried out. */
const ORDER_DELAY_MILLIS = 9500;

/**
 * Has a worker carry out the orders to start a task after it was given up for
 * silent and came back; checks that the task ran once.
 */
export async function checkLateOrders(
  t: Test,
  policy: QueuePolicy,
  judgesLatenessByOwnLease: boolean,
): Promise<void> {
  const site = buildModelSite({workers: 2, policies: [policy]});
  site.workers.forEach(worker => {
    worker.judgesLatenessByOwnLease = judgesLatenessByOwnLease;
  });
  await site.run(OLD_WORKER_MILLIS);
  await orderLate(site, policy);
  await site.run(30_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 1);
  t.equal(site.readJobState(site.hosts[0], JOB_ID), 'completed');
}

/** Submits a task for the first worker, whose start orders are all late. */
async function orderLate(site: ModelSite, policy: QueuePolicy): Promise<void> {
  const [worker] = site.workers;
  const {faultState} = site;
  site.faultState = {
    ...faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () => ORDER_DELAY_MILLIS,
  };
  const step = buildStep({estimateMillis: 15_000, dataRack: worker.rack});
  const receivedAt = site.clock.now;
  const job = buildJob(JOB_ID, [step], {policy, receivedAt});
  void site.submit(site.hosts[0], job);
  await site.run(200);
  site.faultState = {...faultState, canCall: (_, id) => id !== worker.id};
  await site.run(LAPSED_MILLIS);
  site.faultState = faultState;
}
