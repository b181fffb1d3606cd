import t from 'tap';
import {type ModelSite, type ModelWorker} from '../../index';
import {buildLastingSite} from './lastingSiteFixture';

/** Time after which the worker registry deletes the entry of a lost worker. */
const REGISTRY_EXPIRY_MILLIS = 4500;
/** How long the process of a killed host is away. */
const HOST_RESTART_MILLIS = 500;
/** Bounds the time from the loss of a worker to the next run of its tasks. */
const KNOWN_LOSS_LIMIT_MILLIS = 9000;
/** The same if the holder is lost before it can know of the loss. */
const UNKNOWN_LOSS_LIMIT_MILLIS = 12_000;

/** Kills the holder again and again; its process is soon restarted. */
function killHolders(
  site: ModelSite,
  firstMillis: number,
  intervalMillis: number,
): void {
  site.clock.after(firstMillis, () => {
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
      site.clock.after(HOST_RESTART_MILLIS, () => site.restart(holder));
    }
    killHolders(site, intervalMillis, intervalMillis);
  });
}

/** Loses a worker that has runs, for good. */
function loseWorker(site: ModelSite): ModelWorker {
  const worker = site.workers.find(each => each.countRuns() > 0);
  if (worker === undefined) {
    throw new Error('no worker has runs');
  }
  worker.leave();
  site.clock.after(REGISTRY_EXPIRY_MILLIS, () =>
    site.deleteRegistryEntry(worker),
  );
  return worker;
}

/** Runs the site until all tasks run, and returns how long that took. */
async function millisUntilAllRun(site: ModelSite): Promise<number> {
  const beganAt = site.clock.now;
  const countRuns = () =>
    site.workers.reduce((sum, worker) => sum + worker.countRuns(), 0);
  while (countRuns() < 3 && site.clock.now - beganAt < 30_000) {
    await site.run(20);
  }
  return site.clock.now - beganAt;
}

/** Time to the first kill, between kills, and the limit, in milliseconds. */
const KILL_SCHEDULES: ReadonlyArray<readonly [number, number, number]> = [
  [100_000, 100_000, KNOWN_LOSS_LIMIT_MILLIS],
  [0, 9000, UNKNOWN_LOSS_LIMIT_MILLIS],
  [1000, 9000, UNKNOWN_LOSS_LIMIT_MILLIS + 1000],
  [3000, 9000, KNOWN_LOSS_LIMIT_MILLIS],
  [6000, 9000, KNOWN_LOSS_LIMIT_MILLIS],
  [0, 4000, UNKNOWN_LOSS_LIMIT_MILLIS],
  [1000, 4000, UNKNOWN_LOSS_LIMIT_MILLIS + 1000],
  [2500, 4000, UNKNOWN_LOSS_LIMIT_MILLIS + 2500],
  [3500, 4000, KNOWN_LOSS_LIMIT_MILLIS],
];

for (const [firstMillis, intervalMillis, limit] of KILL_SCHEDULES) {
  const schedule = `after ${firstMillis} ms, then every ${intervalMillis} ms`;
  void t.test(
    `tasks of a lost worker run again while holders are killed ${schedule}`,
    async t => {
      const {site, job} = await buildLastingSite('00000000000000d0');
      loseWorker(site);
      killHolders(site, firstMillis, intervalMillis);
      const millis = await millisUntilAllRun(site);
      t.comment(`${Math.round(millis)} ms`);
      t.ok(millis <= limit, `${millis} ms`);
      await site.run(12_000);
      t.same(site.checker.violations, []);
      t.ok(site.checker.countStarts(job.id) >= 4);
    },
  );
}
