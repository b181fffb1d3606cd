import type {Worker} from '@samphireramp/fleet';
import type {QueuePolicy} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {Candidate, ReadyStep} from '../../candidates';
import {chooseBestFit} from '../../taskPlacement';

const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 8000, accelerators: 0};

function buildCandidate(id: string, speed: number, freeCores = 8): Candidate {
  const free = {cpuMillis: freeCores * 1000, memoryMegabytes: freeCores * 1000};
  const worker = {id, incarnation: id, capacity: CAPACITY, rack: ''} as Worker;
  const cpuMillisAtStart = free.cpuMillis;
  const limits = {isClosed: false, startableRuns: Infinity, stoppingRuns: []};
  return {
    worker,
    cpuMillisAtStart,
    ...free,
    accelerators: 0,
    ...limits,
    speed,
  };
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
  const normal = buildCandidate('normal', 1);
  t.equal(choose(normal, buildCandidate('fast', 1.25)), 'fast');
  t.equal(choose(buildCandidate('slow', 0.2, 3), normal), 'normal');
  t.equal(choose(buildCandidate('slow', 0.2)), 'slow', 'if nothing else fits');
  const busy = buildCandidate('busy', 1, 3);
  t.equal(choose(buildCandidate('fast', 16), busy), 'busy');
});

void t.test('a worker on probation takes its few runs only', async t => {
  const tried = {...buildCandidate('tried', 1, 3), startableRuns: 0};
  t.equal(choose(tried, buildCandidate('normal', 1)), 'normal');
});

void t.test('tolerant jobs leave the fast workers to urgent ones', async t => {
  const candidates = [
    buildCandidate('busy', 1, 3),
    buildCandidate('fast', 1.25),
    buildCandidate('slow', 0.8),
  ];
  const urgent = buildPolicy({priority: 0});
  const tolerant = buildPolicy({priority: 2, stretch: 4});
  t.equal(chooseFor(urgent, ...candidates), 'fast');
  t.equal(chooseFor(tolerant, ...candidates.slice(1)), 'slow');
  const sick = buildCandidate('sick', 0.2);
  t.equal(chooseFor(tolerant, sick, candidates[1]), 'fast', 'not a sick one');
});
