import type {FinishedRun} from '@samphireramp/dispatch';
import {WORKERS} from '@samphireramp/fleet';
import type {Update} from '@samphireramp/kernel';
import {
  INITIAL_MODEL_VARIANCE,
  INITIAL_STEP_VARIANCE,
  type Prediction,
  middleOf,
  predict,
} from './predictRunTime';
import {RATIO_UNIT, createModel, updateModel} from './RunTimeModel';
import {
  MAX_QUEUES,
  MAX_SHAPES,
  MAX_STEPS,
  QUEUE_RUN_TIMES,
  type QueueRow,
  SHAPE_RUN_TIMES,
  STEP_RUN_TIMES,
  replaceRow,
  shapeKey,
  stepOfJobKey,
} from './runTimeState';
import {
  SAMPLE_RECORDER,
  type WindowTerms,
  addSample,
  createWindows,
} from './SampleWindows';
import {learnWorkerSpeed, workerSpeed} from './workerSpeed';

/** Enough samples to tell the tail of a distribution. */
const ERROR_WINDOW: WindowTerms = {
  samples: 128,
  millis: 30_000,
  minSamples: 64,
};
/** Weight of the newest run in the variances. */
const VARIANCE_WEIGHT = 1 / 32;
/** Errors count up to this in the variances, so that a few don't decide them. */
const MAX_LOG_ERROR = 1.5;
/** Number of the newest durations that are known of a step. */
const STEP_SAMPLES = 7;
/** Of a slower worker only the speed is learnt, not the durations of its tasks. */
const MIN_SOUND_SPEED = 1 / 3;

/** Learns from a run that is done and did all of its work. */
export function learnRunTime(update: Update, run: FinishedRun): void {
  const {job, stepNumber, worker, isResumed} = run;
  const step = job.steps[stepNumber];
  if (isResumed || step.isService || step.estimateMillis <= 0) {
    return;
  }
  const prediction = predict(update, job, stepNumber);
  const logMillis = Math.log(Math.max(1, run.ranMillis));
  // All members of a gang wait for the slowest, so none tells the speed of its worker.
  if (step.isGang) {
    learnTask(update, run, prediction, logMillis);
    return;
  }
  const logSpeed = Math.log(workerSpeed(update, worker, update.now));
  const expectedLog = prediction?.logMillis ?? Math.log(step.estimateMillis);
  learnWorkerSpeed(update, job.policy.name, worker, logMillis - expectedLog);
  if (isSound(update, worker) && logSpeed >= Math.log(MIN_SOUND_SPEED)) {
    learnTask(update, run, prediction, logMillis + logSpeed);
  }
}

function isSound(update: Update, incarnation: string): boolean {
  const worker = update.read(WORKERS).get(incarnation);
  return worker !== undefined && worker.avoidedUntil <= update.now;
}

/** Learns the duration of a task on a worker of normal speed. */
function learnTask(
  update: Update,
  {job, stepNumber}: FinishedRun,
  prediction: Prediction | undefined,
  logMillis: number,
): void {
  const {now} = update;
  const step = job.steps[stepNumber];
  const {estimateMillis} = step;
  const millis = Math.exp(logMillis);
  const recorder = update.write(SAMPLE_RECORDER);
  const queues = update.write(QUEUE_RUN_TIMES);
  const row = queues.get(job.policy.name) ?? createQueueRow(now);
  const model = updateModel(recorder, row.model, millis, estimateMillis, now);
  const nextRow = {...withErrors(update, row, prediction, logMillis), model};
  replaceRow(queues, job.policy.name, nextRow, MAX_QUEUES);
  const shapes = update.write(SHAPE_RUN_TIMES);
  const shape = shapeKey(job, step, stepNumber);
  const shapeModel = shapes.get(shape) ?? createModel(now);
  replaceRow(
    shapes,
    shape,
    updateModel(recorder, shapeModel, millis, estimateMillis, now),
    MAX_SHAPES,
  );
  if (step.count > 1 || job.occurrences > 1) {
    const steps = update.write(STEP_RUN_TIMES);
    const key = stepOfJobKey(job, stepNumber);
    const known = steps.get(key)?.logMillis ?? [];
    const newest = [...known, logMillis].slice(-STEP_SAMPLES);
    const row = {logMillis: newest, middle: middleOf(newest)};
    replaceRow(steps, key, row, MAX_STEPS);
  }
}

function createQueueRow(now: number): QueueRow {
  return {
    model: createModel(now),
    errors: createWindows(now),
    modelVariance: INITIAL_MODEL_VARIANCE,
    stepVariance: INITIAL_STEP_VARIANCE,
  };
}

/** Returns a row that has the errors of a prediction. */
function withErrors(
  update: Update,
  row: QueueRow,
  prediction: Prediction | undefined,
  logMillis: number,
): QueueRow {
  if (prediction === undefined) {
    return row;
  }
  const ratio = Math.exp(logMillis - prediction.logMillis) * RATIO_UNIT;
  const {stepLogMillis, modelLogMillis} = prediction;
  return {
    ...row,
    errors: addSample(
      update.write(SAMPLE_RECORDER),
      row.errors,
      ERROR_WINDOW,
      ratio,
      update.now,
    ),
    modelVariance: follow(row.modelVariance, logMillis - modelLogMillis),
    stepVariance:
      stepLogMillis === undefined
        ? row.stepVariance
        : follow(row.stepVariance, logMillis - stepLogMillis),
  };
}

function follow(variance: number, error: number): number {
  const square = Math.min(Math.abs(error), MAX_LOG_ERROR) ** 2;
  return variance + (square - variance) * VARIANCE_WEIGHT;
}
