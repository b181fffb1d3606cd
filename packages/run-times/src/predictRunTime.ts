import type {StateReader} from '@samphireramp/kernel';
import type {Job} from '@samphireramp/jobs';
import {type RunTimeModel, RATIO_UNIT, predictLogMillis} from './RunTimeModel';
import {countSamples, quantile} from './SampleWindows';
import {
  QUEUE_RUN_TIMES,
  type QueueRow,
  SHAPE_RUN_TIMES,
  STEP_RUN_TIMES,
  shapeKey,
  stepOfJobKey,
} from './runTimeState';

/** Samples at which a model counts as much as what is known without it. */
const SAMPLES_OF_HALF_WEIGHT = 4;
/** Assumed until it is known: estimates are off by a factor of 2.7. */
export const INITIAL_MODEL_VARIANCE = 1;
/** Assumed until it is known: tasks of a step differ by a third. */
export const INITIAL_STEP_VARIANCE = 0.1;
/** Smallest variance, so that a few equal durations don't end the learning. */
const MIN_VARIANCE = 0.005;
/** Samples of a queue that are necessary to tell the tail of its distribution. */
const MIN_TAIL_SAMPLES = 64;
/** Share of the runs that are shorter than the tail. */
const TAIL_SHARE = 0.99;
/** A run in the tail takes more than this multiple of the tail's quantile. */
const TAIL_MARGIN = 1.5;
/** The tail begins here at least, as a few runs take 7 times as long as others. */
const MIN_TAIL_FACTOR = 10;

/** A prediction and what it was made from. */
export interface Prediction {
  /** Logarithm of the duration, without the other tasks of the step. */
  readonly modelLogMillis: number;
  /** The same from the other tasks of the step; undefined if none has finished. */
  readonly stepLogMillis: number | undefined;
  readonly logMillis: number;
}

/**
 * Returns the expected run time of a task of a step on a worker of normal speed; the
 * estimate if nothing is known.
 */
export function expectedMillis(
  state: StateReader,
  job: Job,
  stepNumber: number,
): number {
  const {estimateMillis} = job.steps[stepNumber];
  const prediction = predict(state, job, stepNumber);
  return prediction === undefined
    ? estimateMillis
    : Math.exp(prediction.logMillis);
}

/**
 * Returns a run time that a task of a step exceeds on a worker of normal speed only if
 * something is wrong; infinite if too little is known.
 */
export function tailMillis(
  state: StateReader,
  job: Job,
  stepNumber: number,
): number {
  const {estimateMillis} = job.steps[stepNumber];
  const errors = state.read(QUEUE_RUN_TIMES).get(job.policy.name)?.errors;
  if (
    errors === undefined ||
    countSamples(errors) < MIN_TAIL_SAMPLES ||
    estimateMillis <= 0
  ) {
    return Infinity;
  }
  const learntFactor =
    (quantile(errors, TAIL_SHARE) / RATIO_UNIT) * TAIL_MARGIN;
  // A run that is stopped teaches nothing, so a wrong prediction would not be mended.
  const leastMillis = Math.max(
    estimateMillis,
    expectedMillis(state, job, stepNumber),
  );
  return leastMillis * Math.max(MIN_TAIL_FACTOR, learntFactor);
}

/** Predicts the run time of a task; undefined if nothing is known of its queue. */
export function predict(
  state: StateReader,
  job: Job,
  stepNumber: number,
): Prediction | undefined {
  const step = job.steps[stepNumber];
  const queueRow = state.read(QUEUE_RUN_TIMES).get(job.policy.name);
  if (queueRow === undefined || step.estimateMillis <= 0) {
    return undefined;
  }
  const shape = state
    .read(SHAPE_RUN_TIMES)
    .get(shapeKey(job, step, stepNumber));
  const {estimateMillis} = step;
  const byQueue = refine(
    Math.log(estimateMillis),
    queueRow.model,
    estimateMillis,
  );
  const modelLogMillis = refine(byQueue, shape, estimateMillis);
  const siblings = state
    .read(STEP_RUN_TIMES)
    .get(stepOfJobKey(job, stepNumber));
  if (siblings === undefined) {
    const stepLogMillis = undefined;
    return {modelLogMillis, stepLogMillis, logMillis: modelLogMillis};
  }
  const stepLogMillis = siblings.middle;
  const weight = stepWeight(queueRow, siblings.logMillis.length);
  const logMillis = modelLogMillis + weight * (stepLogMillis - modelLogMillis);
  return {modelLogMillis, stepLogMillis, logMillis};
}

/** Combines a prediction with that of a model, by the number of its samples. */
function refine(
  logMillis: number,
  model: RunTimeModel | undefined,
  estimateMillis: number,
): number {
  if (model === undefined) {
    return logMillis;
  }
  const weight = model.samples / (model.samples + SAMPLES_OF_HALF_WEIGHT);
  const predicted = predictLogMillis(model, estimateMillis);
  return logMillis + weight * (predicted - logMillis);
}

/**
 * How much the finished tasks of a step count against the models: much where the
 * models predict badly and the tasks of a step are alike.
 */
function stepWeight(
  {modelVariance, stepVariance}: QueueRow,
  tasks: number,
): number {
  const noise = Math.max(MIN_VARIANCE, stepVariance);
  const betweenSteps = Math.max(MIN_VARIANCE, modelVariance - noise);
  return (tasks * betweenSteps) / (tasks * betweenSteps + noise);
}

/** The median of a few numbers. */
export function middleOf(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  const half = (sorted.length - 1) / 2;
  return (sorted[Math.floor(half)] + sorted[Math.ceil(half)]) / 2;
}
