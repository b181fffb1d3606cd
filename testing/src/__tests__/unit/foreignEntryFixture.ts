/** Sites whose worker registry has other writers. */
import type {Test} from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  type RegistryEntry,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildRegistryEntry,
  buildStep,
  encodeRegistryEntry,
} from '../../index';

/** Policy of the only queue. */
export const POLICY = buildPolicy();
const JOB_ID = '00000000000000d0';
/** The latest start that an entry may have. */
const LATEST_BORN = 8.64e15;
const TASK_COUNT = 3;
/** Time from a submit until the worker has reported the runs as running. */
const REPORTED_MILLIS = 2500;
/** Time from a foreign entry until its worker writes its own again. */
export const OWN_ENTRY_MILLIS = 1500;
/** Time until a worker that can't write meanwhile writes its own entry again. */
export const LATE_OWN_ENTRY_MILLIS = 3000;

/** An entry that another writer puts under the id of a worker. */
export interface ForeignEntry {
  readonly name: string;
  build(site: ModelSite, worker: ModelWorker): object;
}

/** Builds an entry that differs from a worker's own in the given fields. */
export function changeEntry(
  worker: ModelWorker,
  change: Partial<RegistryEntry>,
): object {
  return buildRegistryEntry(worker.record(), change);
}

/** A later start than any of the worker. */
export const LATER_START: ForeignEntry = {
  name: 'of a later start',
  build: (_, worker) => changeEntry(worker, {born: LATEST_BORN}),
};
/** A service that no configuration names, where nothing listens. */
export const OTHER_SERVICE: ForeignEntry = {
  name: 'of another service at an address where nothing listens',
  build: (_, worker) =>
    changeEntry(worker, {
      born: worker.born + 1,
      service: 'unnamed',
      address: '10.0.1.1:7000',
    }),
};
/** The address of another worker. */
export const OTHER_ADDRESS: ForeignEntry = {
  name: 'at the address of another worker',
  build: ({workers}, worker) =>
    changeEntry(worker, {address: workers[1].address}),
};
/** No start of the incarnation. */
export const NO_START: ForeignEntry = {
  name: 'without a start',
  build: (_, worker) => ({
    ...changeEntry(worker, {}),
    born: undefined,
  }),
};

/** Writes a foreign entry under the id of a worker. */
export function writeForeignEntry(
  site: ModelSite,
  worker: ModelWorker,
  entry: ForeignEntry,
): void {
  const content = encodeRegistryEntry(entry.build(site, worker));
  site.writeRegistryRecord(worker.id, content);
}

/** Has a worker write its own entry after a time. */
export function writeOwnEntryLater(
  site: ModelSite,
  worker: ModelWorker,
  millis: number,
): void {
  site.clock.after(millis, () => site.writeRegistryEntry(worker));
}

/** Builds a site of two workers, the first of which runs all tasks of a job. */
export async function buildBusySite(
  t: Test,
): Promise<[ModelSite, ModelWorker]> {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  await site.run(1000);
  await startTasks(t, site);
  return [site, site.workers[0]];
}

/** Submits a job and waits until the first worker runs all of its tasks. */
export async function startTasks(t: Test, site: ModelSite): Promise<void> {
  const step = buildStep({
    count: TASK_COUNT,
    estimateMillis: 12_000,
    dataRack: site.workers[0].rack,
  });
  const receivedAt = site.clock.now;
  const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt});
  void site.submit(site.hosts[0], job);
  await site.run(REPORTED_MILLIS);
  t.equal(site.workers[0].countRuns(), TASK_COUNT);
}

/** Has a worker answer each poll that much later than it carries it out. */
export function delayAnswers(
  site: ModelSite,
  worker: ModelWorker,
  millis: number,
): void {
  const poll = worker.poll.bind(worker);
  worker.poll = async (...call) => {
    const report = await poll(...call);
    await new Promise<void>(resolve => site.clock.after(millis, resolve));
    return report;
  };
}

/** Ends the holder; the hosts that remain know only the newest entries. */
export function endHolder(site: ModelSite): void {
  const holder = site.holder();
  for (const host of site.hosts) {
    if (host === holder) {
      site.kill(host);
    } else {
      site.restart(host);
    }
  }
}

/** Runs the site until the job must have ended, and checks that all went well. */
export async function checkEachRanOnce(
  t: Test,
  site: ModelSite,
): Promise<void> {
  await site.run(20_000);
  t.same(site.checker.violations, []);
  t.equal(site.checker.countStarts(JOB_ID), TASK_COUNT);
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  t.equal(site.readJobState(host, JOB_ID), 'completed');
}
