import type {FinishedRun} from '@samphireramp/dispatch';
import {WORKERS, type Worker} from '@samphireramp/fleet';
import {HOLDING_ENDED} from '@samphireramp/holding';
import type {Job} from '@samphireramp/jobs';
import {createCommand, createKernel} from '@samphireramp/kernel';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import {
  createRunTimesPlugin,
  expectedMillis,
  learnRunTime,
  predictionRatios,
  tailMillis,
  workerSpeed,
} from '../..';

const LEARN = createCommand<{run: FinishedRun; fails: boolean}>('learn');
const AVOID = createCommand<Partial<Worker>>('avoid');

/** A holder that learns, on a clock that the test sets. */
export function buildLearner() {
  const clock = {now: 1000};
  const kernel = createKernel({now: () => clock.now, onError: () => undefined});
  kernel.registerSlice(WORKERS);
  kernel.registerCommand(LEARN, (update, {run, fails}) => {
    learnRunTime(update, run);
    if (fails) {
      throw new Error('the update is undone');
    }
  });
  kernel.registerCommand(AVOID, (update, worker) =>
    update.write(WORKERS).set(worker.incarnation ?? '', {
      avoidedUntil: 0,
      ...worker,
    } as Worker),
  );
  kernel.register(createRunTimesPlugin());
  const learn = (
    job: Job,
    ranMillis: number,
    {fails = false, ...run}: Partial<FinishedRun & {fails: boolean}> = {},
  ) => {
    const worker = run.worker ?? 'worker-a';
    if (!kernel.read(WORKERS).has(worker)) {
      kernel.dispatch(AVOID, {incarnation: worker});
    }
    const finished = {job, stepNumber: 0, worker, ranMillis, isResumed: false};
    kernel.dispatch(LEARN, {run: {...finished, ...run}, fails});
  };
  return {
    kernel,
    clock,
    learn,
    avoid: (incarnation: string, avoidedUntil: number) =>
      kernel.dispatch(AVOID, {incarnation, avoidedUntil}),
    endHolding: () =>
      kernel.dispatch(HOLDING_ENDED, {term: 1, reason: 'test'} as never),
    expected: (job: Job) => expectedMillis(kernel, job, 0),
    ratios: (shares: readonly number[]) => predictionRatios(kernel, shares),
    tail: (job: Job) => tailMillis(kernel, job, 0),
    speed: (worker: string) => workerSpeed(kernel, worker, clock.now),
  };
}

let jobCount = 0;

/** Builds a job of one task, or of one step of several. */
export function buildTaskJob(
  estimateMillis: number,
  {queue = 'queue', count = 1, isGang = false} = {},
): Job {
  return buildJob(
    `job-${jobCount++}`,
    [buildStep({estimateMillis, count, isGang})],
    {policy: buildPolicy({name: queue})},
  );
}
