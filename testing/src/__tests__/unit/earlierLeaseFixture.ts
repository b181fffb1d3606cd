/** Sites on which a worker holds a lease of an earlier holder. */
import {WORKERS} from '@samphireramp/fleet';
import type {Test} from 'tap';
import {
  type ModelHost,
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
const JOB_ID = '00000000000000d6';
/** Age from which on a worker can't have a lease from a call to an earlier life. */
const OLD_WORKER_MILLIS = 30_000;

/**
 * Builds a site whose first worker, with a slow clock, runs a long task. Returns it
 * with its holder and the other host.
 */
export async function buildBusySite(
  t: Test,
): Promise<[ModelSite, ModelHost, ModelHost]> {
  const site = buildModelSite({
    workers: 2,
    policies: [POLICY],
    random: () => 0,
  });
  await site.run(OLD_WORKER_MILLIS);
  const [worker] = site.workers;
  const step = buildStep({estimateMillis: 40_000, dataRack: worker.rack});
  const job = buildJob(JOB_ID, [step], {
    policy: POLICY,
    receivedAt: OLD_WORKER_MILLIS,
  });
  void site.submit(site.hosts[0], job);
  await site.run(2500);
  t.equal(worker.countRuns(), 1);
  const [first, second] = site.hosts;
  return site.holder() === first
    ? [site, first, second]
    : [site, second, first];
}

/** Lets the first worker and some hosts call each other, and no other host. */
export function connectFirstWorker(
  site: ModelSite,
  hosts: readonly ModelHost[],
): void {
  const names = hosts.map(({name}) => name);
  site.faultState = {
    ...site.faultState,
    canCall: (host, worker) =>
      worker !== site.workers[0].id || names.includes(host),
  };
}

/** Keeps a host from calling any worker but the first. */
export function cutOffFromOthers(site: ModelSite, cutOff: ModelHost): void {
  const {canCall} = site.faultState;
  site.faultState = {
    ...site.faultState,
    canCall: (host, worker) =>
      canCall(host, worker) &&
      (host !== cutOff.name || worker === site.workers[0].id),
  };
}

/** Runs the site until the first worker has reported to a host. */
export async function awaitFirstReport(
  site: ModelSite,
  {kernel}: ModelHost,
): Promise<void> {
  const {incarnation} = site.workers[0];
  while (!kernel.read(WORKERS).get(incarnation)?.hasReported) {
    await site.run(1);
  }
}

/** Leaves the appends and reads of some hosts without an answer. */
export function silenceLog(site: ModelSite, hosts: readonly ModelHost[]): void {
  const names = hosts.map(({name}) => name);
  site.faultState = {
    ...site.faultState,
    logAvailability: host => (names.includes(host) ? 'silent' : 'answers'),
  };
}

/** Checks that the task began again, only after its first run had lapsed. */
export async function checkStartsAgain(
  t: Test,
  site: ModelSite,
): Promise<void> {
  await site.run(15_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), 2);
}
