import type {ExpectedRelease} from '@samphireramp/fleet';
import {NO_RESOURCES, type Resources} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {Candidate, ReadyStep} from '../../candidates';
import {expectFit, planGang} from '../../gangPlan';
import {KeptRoom} from '../../keptRoom';
import {buildCandidate} from './candidateFixture';

const NOW = 10_000;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 8000, accelerators: 0};

function buildNeed(cpuMillis: number): Resources {
  return {...NO_RESOURCES, cpuMillis};
}

function release(inMillis: number, cpuMillis: number): ExpectedRelease {
  return {at: NOW + inMillis, resources: buildNeed(cpuMillis)};
}

function buildWorker(
  id: string,
  freeCpuMillis: number,
  ...releases: ExpectedRelease[]
): Candidate {
  const free = {cpuMillis: freeCpuMillis, memoryMegabytes: 0, accelerators: 0};
  const worker = {id, capacity: CAPACITY, pool: 'pool', labels: []};
  return buildCandidate(worker, free, {listReleases: () => releases});
}

/** Builds a waiting step of tasks that need the given CPU. */
function buildWaitingStep(tasks: number, cpuMillis: number): ReadyStep {
  const need = buildNeed(cpuMillis);
  const step = buildStep({count: tasks, isGang: tasks > 1, need});
  return {
    row: {job: buildJob('job', [step])},
    policy: buildPolicy({priority: 0}),
    step,
    openTasks: Array.from({length: tasks}, (_, index) => index),
    placedByWorker: new Map(),
    taskResources: need,
    fitKey: '',
  } as unknown as ReadyStep;
}

/** Returns in how long a gang is expected to fit. */
function expectInMillis(candidates: readonly Candidate[], gang: ReadyStep) {
  const fitsAt = expectFit(candidates, gang, NOW);
  return fitsAt === undefined ? undefined : fitsAt - NOW;
}

/** Keeps the planned room for a gang. */
function keepFor(gang: ReadyStep, candidates: readonly Candidate[]): KeptRoom {
  const keptRoom = new KeptRoom(NOW);
  const gangPlan = planGang(candidates, gang, () =>
    expectFit(candidates, gang, NOW),
  );
  if (gangPlan !== undefined) {
    keptRoom.keep(gang, gangPlan);
  }
  return keptRoom;
}

void t.test('a gang fits once the room that comes first is there', async t => {
  const workers = [
    buildWorker('a', 4000),
    buildWorker('b', 0, release(900, 4000)),
    buildWorker('c', 1000, release(300, 3000)),
  ];
  t.equal(expectInMillis(workers, buildWaitingStep(1, 4000)), 0);
  t.equal(expectInMillis(workers, buildWaitingStep(2, 4000)), 300);
  t.equal(expectInMillis(workers, buildWaitingStep(3, 4000)), 900);
  t.equal(expectInMillis(workers, buildWaitingStep(4, 4000)), undefined);
});

void t.test('room is kept for whole tasks only', async t => {
  const workers = [buildWorker('a', 5000), buildWorker('b', 3000)];
  const gang = buildWaitingStep(2, 4000);
  const gangPlan = planGang(workers, gang, () => NOW);
  t.same(
    gangPlan?.rooms.map(({candidate, tasks, kept}) => [
      candidate.worker.id,
      tasks,
      kept.cpuMillis,
    ]),
    [['a', 1, 4000]],
  );
  t.equal(
    planGang(workers, gang, () => undefined),
    undefined,
  );
});

// Guards against gangs that fill the loop of the holder on a full site.
void t.test(
  'no time is asked for while a gang has room for no task',
  async t => {
    let asked = 0;
    const plan = planGang(
      [buildWorker('a', 3000)],
      buildWaitingStep(2, 4000),
      () => asked++,
    );
    t.equal(plan, undefined);
    t.equal(asked, 0);
  },
);

void t.test('a run that is overdue may take as long again', async t => {
  const gang = buildWaitingStep(2, 4000);
  for (const [overdueMillis, inMillis] of [
    [10, 100],
    [700, 700],
  ]) {
    const workers = [buildWorker('a', 4000, release(-overdueMillis, 4000))];
    t.equal(expectInMillis(workers, gang), inMillis);
  }
});

void t.test(
  'kept room is lent to steps that end before it is used, and taken back',
  async t => {
    const [worker, slow] = [
      buildWorker('a', 4000, release(500, 4000)),
      {...buildWorker('b', 4000, release(500, 4000)), speed: 0.5},
    ];
    const keptRoom = keepFor(buildWaitingStep(4, 4000), [worker, slow]);
    t.same([worker.cpuMillis, slow.cpuMillis], [0, 0]);
    keptRoom.lend(300);
    t.same([worker.cpuMillis, slow.cpuMillis], [4000, 0]);
    worker.cpuMillis -= 1000;
    keptRoom.takeBack();
    t.equal(worker.cpuMillis, 0);
    keptRoom.lend(600);
    t.equal(worker.cpuMillis, 0);
    keptRoom.takeBack();
    keptRoom.lend(100);
    t.equal(worker.cpuMillis, 3000, 'what is left of it');
  },
);

void t.test(
  'only steps that kept room would serve count as blocked',
  async t => {
    const worker = buildWorker('a', 4000, release(500, 4000));
    const gang = buildWaitingStep(2, 4000);
    const keptRoom = keepFor(gang, [worker]);
    t.notOk(keptRoom.isKeptFrom(gang));
    t.notOk(keptRoom.isKeptFrom(buildWaitingStep(1, 5000)));
    const blocked = buildWaitingStep(1, 3000);
    keptRoom.lend(300);
    t.notOk(keptRoom.isKeptFrom(blocked));
    keptRoom.takeBack();
    t.ok(keptRoom.isKeptFrom(blocked));
  },
);
