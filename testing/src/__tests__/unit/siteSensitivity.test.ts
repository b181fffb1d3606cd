import t from 'tap';
import {
  ALL_FAULTS,
  ModelSite,
  type ModelWorker,
  buildJob,
  buildPolicy,
  buildStep,
  createRandom,
  runSiteSchedule,
} from '../../index';

const FIRST_SEED = 2;
const SCHEDULES = 3;
/** The holder changes often. */
const HARSH = {...ALL_FAULTS, hostKills: 9, hostRolls: 2, logOutages: 0};

/** Broken promises over a few schedules, on sites that were weakened. */
async function countViolations(
  weaken: (site: ModelSite) => void,
): Promise<number> {
  let violations = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
    const report = await runSiteSchedule(seed, HARSH, weaken);
    violations += report.violations.length;
  }
  return violations;
}

/** Has a worker find the same in a field of its own at each use. */
function forget(
  worker: ModelWorker,
  field: string,
  value: () => unknown,
): void {
  Object.defineProperty(worker, field, {get: value, set: () => undefined});
}

void t.test('a sound site keeps the promises in these schedules', async t => {
  t.equal(await countViolations(() => undefined), 0);
});

void t.test('a log that appends without its condition is noticed', async t => {
  const count = await countViolations(site => {
    const carryOut = site.log.carryOut.bind(site.log);
    site.log.carryOut = request =>
      carryOut({...request, expectedEnd: undefined});
  });
  t.ok(count > 0, `${count} broken promises were noticed`);
});

void t.test('workers that obey every holder are noticed', async t => {
  const count = await countViolations(site => {
    for (const worker of site.workers) {
      forget(worker, 'fence', () => 0);
      forget(worker, 'lastEnded', () => new Map());
    }
  });
  t.ok(count > 0, `${count} broken promises were noticed`);
});

/** Runs a long task on a worker that is cut off for good; tells what broke. */
async function cutOffLongTask(
  weaken: (worker: ModelWorker) => void,
): Promise<readonly string[]> {
  const policy = buildPolicy();
  const steps = [buildStep({estimateMillis: 30_000})];
  const job = buildJob('00000000000000a1', steps, {policy, receivedAt: 1000});
  const site = new ModelSite({
    hosts: 2,
    workers: 2,
    capacity: {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0},
    random: createRandom(1),
    policies: [policy],
    script: () => ({
      step: steps[0],
      workMillis: 30_000,
      fails: () => false,
    }),
  });
  site.workers.forEach(weaken);
  await site.run(1000);
  void site.submit(site.hosts[0], job);
  await site.run(1000);
  const busy = site.workers.find(worker => worker.countRuns() > 0);
  site.weather = {...site.weather, canCall: (_, id) => id !== busy?.id};
  await site.run(12_000);
  t.equal(site.judge.startsOf(job.id), 2, 'it ran again elsewhere');
  return site.judge.violations;
}

void t.test('workers that keep no lease are noticed', async t => {
  t.same(await cutOffLongTask(() => undefined), []);
  const broken = await cutOffLongTask(worker =>
    forget(worker, 'until', () => Infinity),
  );
  t.match(broken, [/TWICE/]);
});
