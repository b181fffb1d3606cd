import {createDecisionPlugins} from '@samphireramp/decisions';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import type {OwnIdentity} from '@samphireramp/membership';
import type {WorkerChooser} from '@samphireramp/placement';
import {standardPolicies} from '@samphireramp/scheduling';
import {randomUUID} from 'node:crypto';

const LONG_MILLIS = 1e9;

/** Who the host of a benchmark is. */
export const BENCH_HOST: OwnIdentity = {
  name: 'bench',
  incarnation: 'bench.1',
  zone: 'tema',
  peerAddress: '127.0.0.1:1',
};

/** A kernel with all decisions and no transport; an error ends the run. */
export function createBenchHost(choose: WorkerChooser): Kernel {
  const kernel = createKernel({
    now: () => performance.now(),
    onError: error => {
      throw error;
    },
  });
  const plugins = createDecisionPlugins({
    self: BENCH_HOST,
    seeds: [],
    retentionMillis: LONG_MILLIS,
    startedAt: -LONG_MILLIS,
    policies: standardPolicies,
    choose,
    wallClock: Date.now,
    random: Math.random,
    unique: randomUUID,
  });
  plugins.forEach(plugin => kernel.register(plugin));
  return kernel;
}
