/** Workers that restart while orders with tickets to them have no answer. */
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildPolicy,
  buildStep,
} from '../../index';

/** A queue whose tickets bind an order to one life, but not the lease that it carries. */
export const TICKET_POLICY = buildPolicy({
  advice: {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 30_000},
});
const SHORT_JOB_ID = '00000000000000e1';
const DOWN_MILLIS = 600;
/** By then, the repetitions of the orders have reached the next life. */
const REPETITION_MILLIS = 350;

/** Submits a job of one task for a worker. */
export function submitTicketTask(
  site: ModelSite,
  {rack}: ModelWorker,
  jobId: string,
  workMillis: number,
): void {
  const step = buildStep({estimateMillis: workMillis, dataRack: rack});
  const receivedAt = site.clock.now;
  const job = buildJob(jobId, [step], {policy: TICKET_POLICY, receivedAt});
  void site.submit(site.hosts[0], job);
}

/**
 * Restarts a worker while orders to it have no answer, so that its next life takes
 * their repetitions, and then writes the entry of that life.
 */
export async function restartBetweenOrders(
  site: ModelSite,
  worker: ModelWorker,
  firstClockMillis: number,
): Promise<void> {
  worker.isUp = false;
  submitTicketTask(site, worker, SHORT_JOB_ID, 200);
  await site.run(DOWN_MILLIS);
  worker.restart(worker.born + 1, firstClockMillis);
  worker.isUp = true;
  await site.run(REPETITION_MILLIS);
  site.writeRegistryEntry(worker);
}
