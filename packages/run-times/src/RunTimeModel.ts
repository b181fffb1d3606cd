import {
  type SampleRecorder,
  type SampleWindows,
  type WindowTerms,
  addSample,
  countSamples,
  createWindows,
  quantile,
} from './SampleWindows';

/** Follows a tenfold change of durations within about 50 samples. */
const MEDIAN_WINDOW: WindowTerms = {
  samples: 32,
  millis: 10_000,
  minSamples: 8,
};
/** Weight of the newest sample in the moments, once there are many. */
const MOMENT_WEIGHT = 1 / 64;
/** Ratios are recorded in thousandths. */
export const RATIO_UNIT = 1000;
/** The medians are computed for each sample up to this number, then for some. */
const SAMPLES_BEFORE_SAVING = 16;
/** One in this many samples has the medians computed anew. */
const SAMPLES_PER_MEDIAN = 4;
/**
 * Weight, in samples of variance 1, of the assumption that durations are proportional
 * to their estimates.
 */
const PROPORTIONAL_WEIGHT = 0.5;

/** What finished tasks of one kind tell about the run time of others. */
export interface RunTimeModel {
  /** Durations in milliseconds. */
  readonly durations: SampleWindows;
  /** Durations by their estimates, in units of `RATIO_UNIT`. */
  readonly ratios: SampleWindows;
  /** Number of samples that were recorded. */
  readonly samples: number;
  /** Logarithm of the median duration in milliseconds. */
  readonly logMedian: number;
  /** Logarithm of the median ratio of duration to estimate. */
  readonly logMedianRatio: number;
  readonly meanLogEstimate: number;
  readonly meanLogMillis: number;
  /** Variance of the logarithm of the estimate. */
  readonly estimateVariance: number;
  /** Covariance of the logarithms of estimate and duration. */
  readonly covariance: number;
}

/** Creates a model of tasks of which none has finished. */
export function createModel(now: number): RunTimeModel {
  return {
    durations: createWindows(now),
    ratios: createWindows(now),
    samples: 0,
    logMedian: 0,
    logMedianRatio: 0,
    meanLogEstimate: 0,
    meanLogMillis: 0,
    estimateVariance: 0,
    covariance: 0,
  };
}

/** Returns the model after another task has finished. */
export function updateModel(
  recorder: SampleRecorder,
  model: RunTimeModel,
  millis: number,
  estimateMillis: number,
  now: number,
): RunTimeModel {
  const durations = addSample(
    recorder,
    model.durations,
    MEDIAN_WINDOW,
    millis,
    now,
  );
  const ratios = addSample(
    recorder,
    model.ratios,
    MEDIAN_WINDOW,
    (millis / estimateMillis) * RATIO_UNIT,
    now,
  );
  const samples = model.samples + 1;
  const isMedianDue =
    countSamples(durations) <= SAMPLES_BEFORE_SAVING ||
    samples % SAMPLES_PER_MEDIAN === 0;
  return {
    durations,
    ratios,
    samples,
    logMedian: isMedianDue
      ? Math.log(quantile(durations, 0.5))
      : model.logMedian,
    logMedianRatio: isMedianDue
      ? Math.log(quantile(ratios, 0.5) / RATIO_UNIT)
      : model.logMedianRatio,
    ...updateMoments(model, Math.log(millis), Math.log(estimateMillis)),
  };
}

function updateMoments(
  model: RunTimeModel,
  logMillis: number,
  logEstimate: number,
) {
  const weight = Math.max(1 / (model.samples + 1), MOMENT_WEIGHT);
  const estimateStep = logEstimate - model.meanLogEstimate;
  const millisStep = logMillis - model.meanLogMillis;
  const decay = 1 - weight;
  return {
    meanLogEstimate: model.meanLogEstimate + weight * estimateStep,
    meanLogMillis: model.meanLogMillis + weight * millisStep,
    estimateVariance:
      decay * (model.estimateVariance + weight * estimateStep ** 2),
    covariance: decay * (model.covariance + weight * estimateStep * millisStep),
  };
}

/**
 * How much the duration depends on the estimate: 0 if the estimates predict nothing,
 * 1 if durations are proportional to them. It is the slope of the regression of the
 * logarithms.
 */
export function estimateWorth(model: RunTimeModel): number {
  const assumed = PROPORTIONAL_WEIGHT / Math.max(1, model.samples);
  const slope =
    (model.covariance + assumed) / (model.estimateVariance + assumed);
  return Math.min(1, Math.max(0, slope));
}

/** Predicts the logarithm of a duration from the model and the estimate. */
export function predictLogMillis(
  model: RunTimeModel,
  estimateMillis: number,
): number {
  const worth = estimateWorth(model);
  const fromEstimate = Math.log(estimateMillis) + model.logMedianRatio;
  return worth * fromEstimate + (1 - worth) * model.logMedian;
}
