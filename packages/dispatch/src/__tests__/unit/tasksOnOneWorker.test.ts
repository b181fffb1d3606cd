import {NEW_TASK, type RunId, type Task} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  makeReadyStep,
} from '../../candidates';
import {buildCandidate} from './candidateFixture';

const CAPACITY = {cpuMillis: 9000, memoryMegabytes: 9000, accelerators: 0};
const JOB_ID = 'job';
const RUN_ID: RunId = {
  jobId: JOB_ID,
  occurrence: 0,
  step: 0,
  index: 0,
  run: 1,
};

/** Builds a worker on which runs are being stopped. */
function buildWorker(...stoppingRuns: RunId[]): Candidate {
  const worker = {id: 'here', capacity: CAPACITY};
  return buildCandidate(worker, CAPACITY, {stoppingRuns});
}

/** Builds a step of which two tasks may be on a worker; `first` is its first task. */
function buildReadyStep(first: Partial<Task>, isGang = false): ReadyStep {
  const step = buildStep({count: 4, mostOnOneWorker: 2, isGang});
  const tasks = [{...NEW_TASK, ...first}, NEW_TASK, NEW_TASK, NEW_TASK];
  const occurrence = {number: 0, steps: [tasks]};
  const row = {job: buildJob(JOB_ID, [step])} as ReadyStep['row'];
  const readyStep = makeReadyStep(row, buildPolicy(), occurrence, 0);
  if (readyStep === undefined) {
    throw new Error('the step has no open task');
  }
  return readyStep;
}

void t.test(
  'runs that are being stopped leave room for fewer tasks',
  async t => {
    const stopping = buildWorker(RUN_ID);
    for (const first of [
      {phase: 'done', run: 1},
      {phase: 'open', run: 1},
      {phase: 'placed', run: 1, worker: 'elsewhere'},
      {phase: 'placed', run: 2, worker: 'elsewhere'},
    ] as const) {
      t.equal(
        countFittingTasks(stopping, buildReadyStep(first)),
        1,
        first.phase,
      );
    }
    t.equal(
      countFittingTasks(stopping, buildReadyStep({}, true)),
      1,
      'also for a gang',
    );
  },
);

void t.test('a task that is placed as such a run counts once', async t => {
  const placed = buildReadyStep({phase: 'placed', run: 1, worker: 'here'});
  t.equal(countFittingTasks(buildWorker(RUN_ID), placed), 1);
});

void t.test('runs of other steps leave the limit as it is', async t => {
  const candidate = buildWorker(
    {...RUN_ID, jobId: 'other'},
    {...RUN_ID, occurrence: 1},
    {...RUN_ID, step: 1},
  );
  t.equal(countFittingTasks(candidate, buildReadyStep({})), 2);
});
