import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {requestMoreAdvice} from '../../adviceNeeds';
import {ADVICE, NO_ADVICE} from '../../adviceState';
import type {Candidate, ReadyStep} from '../../candidates';
import type {PlacementPass} from '../../PlacementPass';
import {buildCandidate} from './candidateFixture';

const TERMS = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};
const CAPACITY = {cpuMillis: 4000, memoryMegabytes: 4000, accelerators: 0};
const NEED = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 0};

/** A pass in which no host takes a call, so that a request is only prepared. */
function buildPass(roomy: readonly Candidate[]): PlacementPass {
  const read = (slice: unknown) => ({
    get: () => (slice === ADVICE ? NO_ADVICE : undefined),
  });
  return {
    update: {now: 0, read},
    mayRequestAdvice: () => true,
    withRoomFor: () => roomy,
    nearestHosts: () => [],
    addAwaited: () => undefined,
  } as unknown as PlacementPass;
}

function buildWorker(id: string, millis: number): Candidate {
  const free = {cpuMillis: millis, memoryMegabytes: millis, accelerators: 0};
  return buildCandidate({id, capacity: CAPACITY}, free);
}

function buildWaitingStep(): ReadyStep {
  const step = buildStep({need: NEED});
  return {
    row: {job: buildJob('job', [step])},
    policy: buildPolicy({priority: 0, advice: TERMS}),
    occurrence: {number: 0, steps: []},
    stepNumber: 0,
    step,
    openTasks: [0],
    placedByWorker: new Map(),
    taskResources: NEED,
    fitKey: '',
  } as unknown as ReadyStep;
}

/** Counts how often the workers are ranked for a step that asked about some before. */
function countRankings(
  workers: readonly Candidate[],
  queriedIds: readonly string[],
): number {
  let rankings = 0;
  const roomy = workers.filter(({cpuMillis}) => cpuMillis > 0);
  const advice = {...NO_ADVICE, queriedWorkers: new Set(queriedIds)};
  requestMoreAdvice(buildPass(roomy), buildWaitingStep(), advice, 1, () => {
    rankings++;
    return workers;
  });
  return rankings;
}

// Guards against passes that go over all workers for each step that waits on a full site.
void t.test(
  'no workers are ranked for a step if none that it may ask about has room',
  async t => {
    const full = [buildWorker('a', 0), buildWorker('b', 0)];
    t.equal(countRankings(full, ['a']), 0);
    const withRoom = [buildWorker('a', 1000), buildWorker('b', 0)];
    t.equal(countRankings(withRoom, ['a']), 0, 'it has been asked about');
  },
);

void t.test('workers are ranked if one of them can help', async t => {
  const withRoom = [buildWorker('a', 0), buildWorker('b', 1000)];
  t.equal(countRankings(withRoom, ['a']), 1);
  const full = [buildWorker('a', 0), buildWorker('b', 0)];
  t.equal(countRankings(full, []), 1, 'the first request names any');
});
