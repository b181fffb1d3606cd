/** Orders with a ticket that was issued for the next life of a worker, unheard. */
import type {Test} from 'tap';
import type {ModelSite, ModelWorker} from '../../index';
import {
  beginNextLife,
  buildSiteOfOldWorkers,
  loseOpenPoll,
  setCutOff,
  submitTask,
} from './nextLifeFixture';
import {TICKET_POLICY} from './restartedWorkerFixture';

export const JOB_ID = '00000000000000f6';
export const TASK_MILLIS = 40_000;
/** Time in which an order that is on its way is answered. */
export const ANSWER_MILLIS = 5;

/** Begins the next life of the first worker, and submits a task that it gets ordered. */
export async function orderWithTicketOfNextLife(): Promise<
  [ModelSite, ModelWorker]
> {
  const [site, worker] = await buildSiteOfOldWorkers(TICKET_POLICY);
  await loseOpenPoll(site);
  beginNextLife(worker);
  submitTask(site, JOB_ID, TASK_MILLIS, TICKET_POLICY);
  return [site, worker];
}

/** Cuts the first worker off; checks that its task then runs once elsewhere. */
export async function checkCutOff(
  t: Test,
  site: ModelSite,
  cutMillis: number,
): Promise<void> {
  setCutOff(site, true);
  await site.run(cutMillis);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 2, 'it has started elsewhere');
}
