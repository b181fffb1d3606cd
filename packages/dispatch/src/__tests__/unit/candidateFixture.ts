import type {Worker} from '@samphireramp/fleet';
import type {Resources, Step} from '@samphireramp/jobs';
import {buildJob, buildPolicy} from '@samphireramp/testing';
import type {Candidate, ReadyStep} from '../../candidates';

/** Builds a worker with free resources; `fields` replaces what a test is about. */
export function buildCandidate(
  worker: Pick<Worker, 'id' | 'capacity'> & Partial<Worker>,
  free: Resources,
  fields: Partial<Candidate> = {},
): Candidate {
  return {
    worker: Object.defineProperties(
      {incarnation: worker.id, rack: ''},
      Object.getOwnPropertyDescriptors(worker),
    ) as Worker,
    ...free,
    cpuMillisAtStart: free.cpuMillis,
    isClosed: false,
    startableRuns: Infinity,
    stoppingRuns: [],
    listReleases: () => [],
    speed: 1,
    ...fields,
  };
}

/** Builds a step all of whose tasks are open, of a queue of priority 0. */
export function buildOpenStep(step: Step): ReadyStep {
  return {
    row: {job: buildJob('job', [step])},
    policy: buildPolicy({priority: 0}),
    step,
    openTasks: Array.from({length: step.count}, (_, index) => index),
    placedByWorker: new Map(),
    taskResources: step.need,
    fitKey: '',
  } as unknown as ReadyStep;
}
