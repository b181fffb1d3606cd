import type {Log, Metrics} from '@samphireramp/telemetry';

/** Options of a function that reports what callers cause in logs and metrics. */
export interface ReporterOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
}
