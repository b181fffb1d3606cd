import type {QueuePolicy} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {Candidate, ReadyStep} from '../../candidates';
import {chooseBestFit} from '../../taskPlacement';
import {buildCandidate} from './candidateFixture';

const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 8000, accelerators: 0};

function buildWorker(id: string, speed: number, freeCores = 8): Candidate {
  const cpuMillis = freeCores * 1000;
  const free = {cpuMillis, memoryMegabytes: cpuMillis, accelerators: 0};
  return buildCandidate({id, capacity: CAPACITY}, free, {speed});
}

function choose(...candidates: Candidate[]): string | undefined {
  return chooseFor(buildPolicy(), ...candidates);
}

function chooseFor(
  policy: QueuePolicy,
  ...candidates: Candidate[]
): string | undefined {
  const step = buildStep({count: 9});
  const readyStep = {
    row: {job: buildJob('job', [step])},
    policy,
    step,
    openTasks: [0, 1, 2],
    placedByWorker: new Map(),
    taskResources: step.need,
  } as unknown as ReadyStep;
  return chooseBestFit(candidates, readyStep, new Map())?.worker.id;
}

void t.test('faster workers are preferred, not at any price', async t => {
  const normal = buildWorker('normal', 1);
  t.equal(choose(normal, buildWorker('fast', 1.25)), 'fast');
  t.equal(choose(buildWorker('slow', 0.2, 3), normal), 'normal');
  t.equal(choose(buildWorker('slow', 0.2)), 'slow', 'if nothing else fits');
  const busy = buildWorker('busy', 1, 3);
  t.equal(choose(buildWorker('fast', 16), busy), 'busy');
});

void t.test('a worker on probation takes its few runs only', async t => {
  const tried = {...buildWorker('tried', 1, 3), startableRuns: 0};
  t.equal(choose(tried, buildWorker('normal', 1)), 'normal');
});

void t.test('tolerant jobs leave the fast workers to urgent ones', async t => {
  const candidates = [
    buildWorker('busy', 1, 3),
    buildWorker('fast', 1.25),
    buildWorker('slow', 0.8),
  ];
  const urgent = buildPolicy({priority: 0});
  const tolerant = buildPolicy({priority: 2, stretch: 4});
  t.equal(chooseFor(urgent, ...candidates), 'fast');
  t.equal(chooseFor(tolerant, ...candidates.slice(1)), 'slow');
  const sick = buildWorker('sick', 0.2);
  t.equal(chooseFor(tolerant, sick, candidates[1]), 'fast', 'not a sick one');
});
