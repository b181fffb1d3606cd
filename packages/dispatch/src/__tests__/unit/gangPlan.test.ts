import type {ExpectedRelease} from '@samphireramp/fleet';
import {NO_RESOURCES, type Resources} from '@samphireramp/jobs';
import {buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {Candidate, ReadyStep} from '../../candidates';
import {expectFit, planGang} from '../../gangPlan';
import {RoomReservations} from '../../roomReservations';
import {buildCandidate, buildOpenStep} from './candidateFixture';

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
  return buildOpenStep(buildStep({count: tasks, isGang: tasks > 1, need}));
}

/** Returns in how long a gang is expected to fit. */
function expectInMillis(candidates: readonly Candidate[], gang: ReadyStep) {
  const fitsAt = expectFit(candidates, gang, NOW);
  return fitsAt === undefined ? undefined : fitsAt - NOW;
}

/** Reserves the planned room for a gang. */
function reserveFor(
  gang: ReadyStep,
  candidates: readonly Candidate[],
): RoomReservations {
  const rooms = new RoomReservations(NOW);
  const plan = planGang(candidates, gang, () =>
    expectFit(candidates, gang, NOW),
  );
  if (plan !== undefined) {
    rooms.reserve(gang, plan);
  }
  return rooms;
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

void t.test('room is reserved for whole tasks only', async t => {
  const workers = [buildWorker('a', 5000), buildWorker('b', 3000)];
  const gang = buildWaitingStep(2, 4000);
  const plan = planGang(workers, gang, () => NOW);
  t.same([...(plan?.tasksByCandidate ?? [])], [[workers[0], 1]]);
  if (plan !== undefined) {
    new RoomReservations(NOW).reserve(gang, plan);
  }
  t.same(
    workers.map(({cpuMillis}) => cpuMillis),
    [1000, 3000],
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

void t.test(
  'reserved room is free for steps that end before it is used',
  async t => {
    const [worker, slow] = [
      buildWorker('a', 4000, release(500, 4000)),
      {...buildWorker('b', 4000, release(500, 4000)), speed: 0.5},
    ];
    const rooms = reserveFor(buildWaitingStep(4, 4000), [worker, slow]);
    t.same([worker.cpuMillis, slow.cpuMillis], [0, 0]);
    rooms.beginBackfill(300);
    t.same([worker.cpuMillis, slow.cpuMillis], [4000, 0]);
    worker.cpuMillis -= 1000;
    rooms.endBackfill();
    t.equal(worker.cpuMillis, 0);
    rooms.beginBackfill(600);
    t.equal(worker.cpuMillis, 0);
    rooms.endBackfill();
    rooms.beginBackfill(100);
    t.equal(worker.cpuMillis, 3000, 'what is left of it');
  },
);

void t.test(
  'only steps that reserved room would serve count as blocked',
  async t => {
    const worker = buildWorker('a', 4000, release(500, 4000));
    const gang = buildWaitingStep(2, 4000);
    const rooms = reserveFor(gang, [worker]);
    t.notOk(rooms.isBlocking(gang));
    t.notOk(rooms.isBlocking(buildWaitingStep(1, 5000)));
    const blocked = buildWaitingStep(1, 3000);
    rooms.beginBackfill(300);
    t.notOk(rooms.isBlocking(blocked));
    rooms.endBackfill();
    t.ok(rooms.isBlocking(blocked));
  },
);
