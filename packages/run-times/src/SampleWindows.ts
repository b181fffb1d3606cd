import {type SliceDefinition} from '@samphireramp/kernel';
import {type Histogram, build} from 'hdr-histogram-js';

/** One day; larger values are recorded as this. */
const MAX_VALUE = 86_400_000;
/** One digit keeps a histogram under 1 KB; values are off by 3% at most. */
const SIGNIFICANT_DIGITS = 1;
/** Bits of a value that a histogram of `SIGNIFICANT_DIGITS` tells apart. */
const KEPT_BITS = 5;

/** When the samples of a distribution are dropped. */
export interface WindowTerms {
  /** A distribution has at most twice as many samples, the newest ones. */
  readonly samples: number;
  /** Samples older than twice this are dropped, if there are enough newer ones. */
  readonly millis: number;
  /** Samples that must be newer for older ones to be dropped by their age. */
  readonly minSamples: number;
}

/**
 * A distribution of recent samples, in two overlapping windows: each sample goes to
 * both. Once the younger is full or old enough, it replaces the older.
 */
export interface SampleWindows {
  readonly older: Histogram;
  readonly younger: Histogram;
  readonly youngerBeganAt: number;
}

/** Adds samples to histograms, and takes them out if the update is undone. */
export interface SampleRecorder {
  record(histogram: Histogram, value: number): void;
}

/** Records samples inside an update. */
export const SAMPLE_RECORDER: SliceDefinition<object, SampleRecorder> = {
  name: 'run-time-samples',
  create: recorder => {
    let samples = 0;
    return {
      record: (histogram, value) => {
        recorder.recordFirst(String(samples++), () =>
          histogram.recordValueWithCount(value, -1),
        );
        histogram.recordValue(value);
      },
    };
  },
};

/** Creates windows without samples. */
export function createWindows(now: number): SampleWindows {
  return {
    older: createHistogram(),
    younger: createHistogram(),
    youngerBeganAt: now,
  };
}

/** Adds a sample, and returns the windows that replace the given ones. */
export function addSample(
  recorder: SampleRecorder,
  windows: SampleWindows,
  terms: WindowTerms,
  value: number,
  now: number,
): SampleWindows {
  const current = rotateIfDue(windows, terms, now);
  const whole = Math.min(MAX_VALUE, Math.max(1, Math.round(value)));
  recorder.record(current.older, whole);
  recorder.record(current.younger, whole);
  return current;
}

function rotateIfDue(
  windows: SampleWindows,
  terms: WindowTerms,
  now: number,
): SampleWindows {
  const {younger, youngerBeganAt} = windows;
  const isOld =
    now - youngerBeganAt > terms.millis &&
    younger.totalCount >= terms.minSamples;
  return isOld || younger.totalCount >= terms.samples
    ? {older: younger, younger: createHistogram(), youngerBeganAt: now}
    : windows;
}

/** Number of samples in the distribution. */
export function countSamples({older}: SampleWindows): number {
  return older.totalCount;
}

/** Returns a quantile of the distribution, from 0 to 1; 0 if it is empty. */
export function quantile({older}: SampleWindows, share: number): number {
  if (older.totalCount === 0) {
    return 0;
  }
  const highest = older.getValueAtPercentile(share * 100);
  return middleOfEquals(highest);
}

/** The middle of the values that a histogram doesn't tell from `highest`. */
function middleOfEquals(highest: number): number {
  const bits = Math.floor(Math.log2(Math.max(1, highest))) + 1;
  const width = 2 ** Math.max(0, bits - KEPT_BITS);
  return highest - (width - 1) / 2;
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 16,
  });
}
