import type {ExpectedRelease} from '@samphireramp/fleet';
import {NO_RESOURCES, type Resources} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {Candidate, ReadyStep} from '../../candidates';
import {planGang} from '../../gangPlan';
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
  return buildCandidate(worker, free, {releases});
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

/** Plans a gang; returns in how long it fits, and the CPU kept on each worker. */
function plan(candidates: readonly Candidate[], gang: ReadyStep) {
  const found = planGang(candidates, gang, NOW);
  return (
    found && {
      inMillis: found.fitsAt - NOW,
      kept: Object.fromEntries(
        found.rooms.map(({candidate, kept}) => [
          candidate.worker.id,
          kept.cpuMillis,
        ]),
      ),
    }
  );
}

/** Keeps the planned room for a gang. */
function keepFor(gang: ReadyStep, candidates: readonly Candidate[]): KeptRoom {
  const keptRoom = new KeptRoom(NOW);
  const gangPlan = planGang(candidates, gang, NOW);
  if (gangPlan !== undefined) {
    keptRoom.keep(gang, gangPlan);
  }
  return keptRoom;
}

void t.test(
  'a gang is planned where the room that it lacks comes first',
  async t => {
    const workers = [
      buildWorker('a', 4000),
      buildWorker('b', 0, release(900, 4000)),
      buildWorker('c', 1000, release(300, 3000)),
    ];
    t.same(plan(workers, buildWaitingStep(2, 4000)), {
      inMillis: 300,
      kept: {a: 4000, c: 1000},
    });
    t.same(plan(workers, buildWaitingStep(3, 4000)), {
      inMillis: 900,
      kept: {a: 4000, b: 0, c: 1000},
    });
  },
);

void t.test(
  'what is released by then is not kept of what is free now',
  async t => {
    const workers = [buildWorker('a', 4000, release(500, 3000))];
    t.same(plan(workers, buildWaitingStep(3, 2000)), {
      inMillis: 500,
      kept: {a: 3000},
    });
  },
);

void t.test(
  'no room is planned that nothing is expected to release',
  async t => {
    const workers = [buildWorker('a', 4000), buildWorker('b', 3000)];
    t.equal(plan(workers, buildWaitingStep(2, 4000)), undefined);
  },
);

void t.test('a run that is overdue may take as long again', async t => {
  const gang = buildWaitingStep(2, 4000);
  for (const [overdueMillis, inMillis] of [
    [10, 100],
    [700, 700],
  ]) {
    const workers = [buildWorker('a', 4000, release(-overdueMillis, 4000))];
    t.equal(plan(workers, gang)?.inMillis, inMillis);
  }
});

void t.test('two gangs are not planned on the same release', async t => {
  const workers = [
    buildWorker('a', 4000, release(500, 4000), release(900, 4000)),
  ];
  const gang = buildWaitingStep(2, 4000);
  t.equal(planGang(workers, gang, NOW)?.fitsAt, NOW + 500);
  keepFor(gang, workers);
  t.equal(planGang(workers, gang, NOW), undefined);
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
    keptRoom.noteUnplaced(gang);
    keptRoom.noteUnplaced(buildWaitingStep(1, 5000));
    keptRoom.lend(300);
    keptRoom.noteUnplaced(buildWaitingStep(1, 3000));
    keptRoom.takeBack();
    t.equal(keptRoom.blockedPools.size, 0);
    keptRoom.noteUnplaced(buildWaitingStep(1, 3000));
    t.same([...keptRoom.blockedPools], ['pool']);
  },
);
