/** Sites with a worker that restarts after its clock was stepped back. */
import type {Test} from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildRegistryEntry,
  buildStep,
  encodeRegistryEntry,
} from '../../index';

const POLICY = buildPolicy();
const EARLIER_BORN = 1_000_000;
/** A start by a clock that was stepped back by a minute. */
const LATER_BORN = EARLIER_BORN - 60_000;
const SHORT_JOB_ID = '00000000000000d2';
const EARLIER_JOB_ID = '00000000000000d3';
const LATER_JOB_ID = '00000000000000d4';
const TASK_COUNT = 3;

/** Submits a job for the first worker to a host that is up. */
function submitTasks(site: ModelSite, id: string, estimateMillis: number) {
  const step = buildStep({
    count: TASK_COUNT,
    estimateMillis,
    dataRack: site.workers[0].rack,
  });
  const receivedAt = site.clock.now;
  const job = buildJob(id, [step], {policy: POLICY, receivedAt});
  void site.submit(upHost(site), job);
}

function upHost({hosts}: ModelSite) {
  return hosts.find(({isUp}) => isUp) ?? hosts[0];
}

/** Builds a site whose first worker runs tasks, after some that have ended. */
export async function buildBusySite(t: Test): Promise<ModelSite> {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  const [worker] = site.workers;
  worker.restart(EARLIER_BORN);
  site.writeRegistryEntry(worker);
  await site.run(1000);
  submitTasks(site, SHORT_JOB_ID, 200);
  await site.run(1500);
  submitTasks(site, EARLIER_JOB_ID, 12_000);
  await site.run(2500);
  t.equal(worker.countRuns(), TASK_COUNT);
  return site;
}

/** Restarts the first worker; returns the entry of its earlier life. */
export function restartWithEarlierStart(site: ModelSite): Buffer {
  const [worker] = site.workers;
  const entry = encodeRegistryEntry(buildRegistryEntry(worker.record()));
  worker.restart(LATER_BORN);
  site.writeRegistryEntry(worker);
  return entry;
}

/** Ends the process of the holder. */
export function endHolder(site: ModelSite): void {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
}

/** Writes an entry of the earlier life late, and then the present one again. */
export function writeLateEntry(
  site: ModelSite,
  worker: ModelWorker,
  entry: Buffer,
): void {
  site.clock.after(4000, () => site.writeRegistryRecord(worker.id, entry));
  site.clock.after(5500, () => site.writeRegistryEntry(worker));
}

/** Checks that the tasks of the ended life run again within a time. */
export async function checkRunAgain(
  t: Test,
  site: ModelSite,
  withinMillis: number,
): Promise<void> {
  await site.run(withinMillis);
  t.equal(site.checker.countStarts(EARLIER_JOB_ID), 2 * TASK_COUNT);
}

/** Starts tasks on the later life, and checks how often each task runs. */
export async function checkStarts(t: Test, site: ModelSite): Promise<void> {
  submitTasks(site, LATER_JOB_ID, 6000);
  await site.run(30_000);
  t.same(site.checker.violations, []);
  for (const [id, starts] of [
    [SHORT_JOB_ID, TASK_COUNT],
    [EARLIER_JOB_ID, 2 * TASK_COUNT],
    [LATER_JOB_ID, TASK_COUNT],
  ] as const) {
    t.equal(site.checker.countStarts(id), starts);
    t.equal(site.readJobState(upHost(site), id), 'completed');
  }
}
