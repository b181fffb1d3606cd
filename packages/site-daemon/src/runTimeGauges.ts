import {WORKERS} from '@samphireramp/fleet';
import {heldTerm} from '@samphireramp/holding';
import type {StateReader} from '@samphireramp/kernel';
import {predictionRatios, workerSpeed} from '@samphireramp/run-times';
import type {GaugeSample} from '@samphireramp/telemetry';
import type {GaugeSource} from './observerPlugin';

/** Shares of the runs whose ratio of actual to predicted run time is shown. */
const RATIO_SHARES = [0.1, 0.5, 0.9];
/** Upper bounds of the classes of speed; a normal worker has a speed of 1. */
const SPEED_BOUNDS = [0.5, 0.9, 1.12, Infinity];

/**
 * Creates the gauges of learned run times and of the workers judged by them. Workers are
 * counted by class, as a gauge for each would be thousands of time series.
 */
export function createRunTimeGauges(now: () => number): GaugeSource {
  return state =>
    heldTerm(state) === undefined
      ? []
      : [...ratioSamples(state), ...workerSamples(state, now())];
}

function ratioSamples(state: StateReader): GaugeSample[] {
  const samples: GaugeSample[] = [];
  for (const [queue, {byShare}] of predictionRatios(state, RATIO_SHARES)) {
    for (const [share, value] of byShare) {
      const labels = {queue, quantile: String(share)};
      samples.push({name: 'run_time_ratio', labels, value});
    }
  }
  return samples;
}

function workerSamples(state: StateReader, now: number): GaugeSample[] {
  const counts = SPEED_BOUNDS.map(() => 0);
  let avoided = 0;
  for (const {incarnation, avoidedUntil} of state.read(WORKERS).values()) {
    const speed = workerSpeed(state, incarnation, now);
    counts[SPEED_BOUNDS.findIndex(bound => speed <= bound)]++;
    avoided += avoidedUntil > now ? 1 : 0;
  }
  const bySpeed = SPEED_BOUNDS.map((bound, index) => ({
    name: 'workers_by_speed',
    labels: {at_most: String(bound)},
    value: counts[index],
  }));
  return [...bySpeed, {name: 'workers_avoided', labels: {}, value: avoided}];
}
