import type {StateReader} from '@samphireramp/kernel';
import {RATIO_UNIT} from './RunTimeModel';
import {countSamples, quantile} from './SampleWindows';
import {QUEUE_RUN_TIMES} from './runTimeState';

/** Quantiles of actual by predicted run time of a queue. */
export interface PredictionRatios {
  /** Number of runs from which they are computed, the newest ones. */
  readonly runs: number;
  /** Ratios by the share of the runs with at most this ratio. */
  readonly byShare: ReadonlyMap<number, number>;
}

/** Returns quantiles of actual by predicted run time, by the name of the queue. */
export function predictionRatios(
  state: StateReader,
  shares: readonly number[],
): ReadonlyMap<string, PredictionRatios> {
  const ratios = new Map<string, PredictionRatios>();
  for (const [queue, {errors}] of state.read(QUEUE_RUN_TIMES).entries()) {
    const runs = countSamples(errors);
    if (runs > 0) {
      const byShare = new Map(
        shares.map(share => [share, quantile(errors, share) / RATIO_UNIT]),
      );
      ratios.set(queue, {runs, byShare});
    }
  }
  return ratios;
}
