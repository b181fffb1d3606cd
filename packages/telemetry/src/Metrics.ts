import {type Histogram, build} from 'hdr-histogram-js';

/** One day; longer durations are recorded as this. */
const MAX_DURATION_MILLIS = 86_400_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 90, 99, 99.9];
/** Characters that a label value would have to escape; replaced instead. */
const UNSAFE_LABEL_CHARACTERS = /[\\"\n]/g;

/** Label values of one time series, by label name. */
export type Labels = Readonly<Record<string, string>>;

/** The value of one gauge at a scrape. */
export interface GaugeSample {
  /** Name without the prefix of the metrics. */
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Counters, duration histograms and gauges, rendered for Prometheus. */
export interface Metrics {
  /** Adds `amount`, or 1 if it is omitted, to a counter. */
  count(name: string, labels?: Labels, amount?: number): void;
  /** Adds a duration to a histogram. */
  time(name: string, millis: number, labels?: Labels): void;
  /** Registers a value to read at each scrape; returns its unregister function. */
  gauge(name: string, read: () => number): () => void;
  /** Registers a value for each label value, as `gauge` does for one. */
  gauges(
    name: string,
    label: string,
    read: () => ReadonlyMap<string, number>,
  ): () => void;
  /** Registers gauges of any names and labels, which are read at each scrape. */
  samples(read: () => readonly GaugeSample[]): () => void;
  /** Renders all time series in the Prometheus text format. */
  render(): string;
}

/** Creates an empty set of metrics, each named with `prefix`. */
export function createMetrics(prefix: string): Metrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, Histogram>();
  /** Returns the values of a gauge by series, by the name of the gauge. */
  const gauges = new Map<string, () => (readonly [string, number])[]>();
  const sampleReaders = new Set<() => readonly GaugeSample[]>();
  const registerGauge = (
    name: string,
    readSeries: (gaugeName: string) => (readonly [string, number])[],
  ) => {
    const gaugeName = `${prefix}_${name}`;
    gauges.set(gaugeName, () => readSeries(gaugeName));
    return () => gauges.delete(gaugeName);
  };

  return {
    count: (name, labels = {}, amount = 1) => {
      const series = seriesName(`${prefix}_${name}_total`, labels);
      counters.set(series, (counters.get(series) ?? 0) + amount);
    },
    time: (name, millis, labels = {}) => {
      const series = seriesName(`${prefix}_${name}_milliseconds`, labels);
      const histogram = histograms.get(series) ?? newHistogram();
      histograms.set(series, histogram);
      const roundedMillis = Math.max(0, Math.round(millis));
      histogram.recordValue(Math.min(MAX_DURATION_MILLIS, roundedMillis));
    },
    gauge: (name, read) =>
      registerGauge(name, gaugeName => [[gaugeName, read()]]),
    gauges: (name, label, read) =>
      registerGauge(name, gaugeName =>
        [...read()].map(([labelValue, value]) => [
          seriesName(gaugeName, {[label]: labelValue}),
          value,
        ]),
      ),
    samples: read => {
      sampleReaders.add(read);
      return () => sampleReaders.delete(read);
    },
    render: () =>
      [
        ...[...counters].map(([series, value]) => `${series} ${value}`),
        ...[...gauges.values()]
          .flatMap(readSeries => readSeries())
          .map(([series, value]) => `${series} ${value}`),
        ...[...sampleReaders]
          .flatMap(readSamples => readSamples())
          .map(
            ({name, labels, value}) =>
              `${seriesName(`${prefix}_${name}`, labels)} ${value}`,
          ),
        ...[...histograms].flatMap(([series, histogram]) =>
          renderHistogram(series, histogram),
        ),
        '',
      ].join('\n'),
  };
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_DURATION_MILLIS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
}

function seriesName(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([key, value]) => `${key}="${value.replace(UNSAFE_LABEL_CHARACTERS, '_')}"`,
  );
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

function renderHistogram(series: string, histogram: Histogram): string[] {
  const quantiles = PERCENTILES.map(percentile => {
    const label = `quantile="${percentile / 100}"`;
    const value = histogram.getValueAtPercentile(percentile);
    return `${withLabel(series, label)} ${value}`;
  });
  return [
    ...quantiles,
    `${withSuffix(series, '_count')} ${histogram.totalCount}`,
  ];
}

function withLabel(series: string, label: string): string {
  return series.endsWith('}')
    ? `${series.slice(0, -1)},${label}}`
    : `${series}{${label}}`;
}

function withSuffix(series: string, suffix: string): string {
  const brace = series.indexOf('{');
  return brace < 0
    ? `${series}${suffix}`
    : `${series.slice(0, brace)}${suffix}${series.slice(brace)}`;
}
