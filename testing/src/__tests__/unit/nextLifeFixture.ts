/** Sites on which a worker restarts, and its next life gets calls to the earlier one. */
import {RUNS, WORKERS} from '@samphireramp/fleet';
import type {QueuePolicy} from '@samphireramp/jobs';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

/** A queue that needs no tickets, so that any life of a worker may start its tasks. */
const POLICY = buildPolicy();
/** First reading of the next clock: behind the earlier one, so that no order is late. */
const NEXT_CLOCK_MILLIS = 0;
/** Age of the earlier life, so that its clock is ahead of the next one. */
const EARLIER_LIFE_MILLIS = 30_000;
/** By when a task is ordered. */
const MAX_WAIT_MILLIS = 5000;
/** By when an idle worker has answered its open poll; the next one times out later. */
const IDLE_POLL_MILLIS = 2100;

/** Builds a site whose workers have long been up. Returns it with its first worker. */
export async function buildSiteOfOldWorkers(
  policy: QueuePolicy = POLICY,
): Promise<[ModelSite, ModelWorker]> {
  const site = buildModelSite({workers: 2, policies: [policy]});
  await site.run(EARLIER_LIFE_MILLIS);
  return [site, site.workers[0]];
}

/** Submits a job of one task for the first worker. */
export function submitTask(
  site: ModelSite,
  jobId: string,
  estimateMillis: number,
  policy: QueuePolicy = POLICY,
): void {
  const step = buildStep({estimateMillis, dataRack: site.workers[0].rack});
  const receivedAt = site.clock.now;
  const job = buildJob(jobId, [step], {policy, receivedAt});
  void site.submit(site.hosts[0], job);
}

/** Runs the site until a run of the task is ordered; returns its worker. */
export async function awaitOrder(site: ModelSite, run: number) {
  for (let millis = 0; millis < MAX_WAIT_MILLIS; millis++) {
    await site.run(1);
    const kernel = site.holder()?.kernel;
    const ordered = [...(kernel?.read(RUNS).values() ?? [])].find(
      ({runId, startOrders}) => runId.run === run && startOrders > 0,
    );
    const {id} = kernel?.read(WORKERS).get(ordered?.incarnation ?? '') ?? {};
    const worker = site.workers.find(each => each.id === id);
    if (worker !== undefined) {
      return worker;
    }
  }
  return undefined;
}

/** Begins the next life of a worker; no entry names it. */
export function beginNextLife(worker: ModelWorker): void {
  worker.restart(worker.born + 1, NEXT_CLOCK_MILLIS);
}

/** Cuts the first worker off from all hosts, or ends that. */
export function setCutOff(site: ModelSite, isCutOff: boolean): void {
  const {id} = site.workers[0];
  site.faultState = {
    ...site.faultState,
    canCall: (_, worker) => !isCutOff || worker !== id,
  };
}

/** Leaves the orders from now on without an answer; each is carried out later. */
export function delayOrders(site: ModelSite, delayMillis: number): void {
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => true,
    orderDelayMillis: () => delayMillis,
  };
}

/** Leaves the open poll of the first worker, and all later ones, without an answer. */
export async function loseOpenPoll(site: ModelSite): Promise<void> {
  const {id} = site.workers[0];
  site.faultState = {
    ...site.faultState,
    losesPollAnswer: worker => worker === id,
  };
  await site.run(IDLE_POLL_MILLIS);
}

/** Leaves the next poll of a worker without an answer; it is carried out later. */
export async function delayNextPoll(
  site: ModelSite,
  worker: ModelWorker,
  delayMillis: number,
): Promise<void> {
  let polls = 0;
  site.faultState = {
    ...site.faultState,
    losesPollAnswer: id => id === worker.id && ++polls === 1,
    orderDelayMillis: () => delayMillis,
  };
  while (polls === 0) {
    await site.run(1);
  }
}

/** Restarts a worker each time it is sent a run of the task, while that is on its way. */
export async function restartUnderOrders(
  site: ModelSite,
  restarts: number,
): Promise<void> {
  for (let run = 1; run <= restarts; run++) {
    const worker = await awaitOrder(site, run);
    if (worker !== undefined) {
      beginNextLife(worker);
    }
  }
}
