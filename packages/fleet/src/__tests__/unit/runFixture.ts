import {NO_RESOURCES} from '@samphireramp/jobs';
import type {Run} from '../../Run';

/** Builds a running task of a job; `overrides` replaces fields. */
export function buildRun(index: number, overrides: Partial<Run> = {}): Run {
  return {
    runId: {jobId: 'a', occurrence: 0, step: 0, index, run: 1},
    incarnation: 'worker@1',
    account: '',
    reserved: NO_RESOURCES,
    phase: 'running',
    lastOrderAt: 0,
    startOrders: 1,
    confirmedAt: 0,
    startedAt: 0,
    isReported: false,
    percentDone: 0,
    progressedAt: 0,
    expectedMillis: Infinity,
    expectsProgress: true,
    checkpoint: '',
    ...overrides,
  };
}
