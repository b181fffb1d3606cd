import type {RejectionReason} from '@samphireramp/accounts';
import type {Log, Metrics} from '@samphireramp/telemetry';

/** Maximum log lines about rejected calls in each interval of `WINDOW_MILLIS`. */
const MAX_LINES_PER_WINDOW = 10;
const WINDOW_MILLIS = 1000;

/** A call that was rejected for its API key, or for a job of another account. */
export interface RejectedCall {
  readonly reason: RejectionReason | 'other-account';
  /** Name of the caller's account, if it is known. */
  readonly account?: string;
  readonly queue?: string;
  readonly job?: string;
  /** Age of the newest successful read of the configuration. */
  readonly ageMillis: number;
}

/** Options of `createRejectedCallReporter`. */
export interface RejectedCallReporterOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
}

/**
 * Creates a function that counts rejected calls by reason and account, and logs them
 * up to a limit: a client with a wrong key may repeat its calls without pause.
 */
export function createRejectedCallReporter({
  log,
  metrics,
  now,
}: RejectedCallReporterOptions): (call: RejectedCall) => void {
  let windowStartedAt = -Infinity;
  let linesInWindow = 0;
  return ({reason, account, queue, job, ageMillis}) => {
    metrics.count('rejected_calls', {reason, account: account ?? ''});
    if (now() - windowStartedAt >= WINDOW_MILLIS) {
      windowStartedAt = now();
      linesInWindow = 0;
    }
    linesInWindow++;
    if (linesInWindow <= MAX_LINES_PER_WINDOW) {
      log('call-rejected', {
        reason,
        account,
        queue,
        job,
        configurationMillis: Number.isFinite(ageMillis)
          ? Math.round(ageMillis)
          : undefined,
      });
    }
  };
}
