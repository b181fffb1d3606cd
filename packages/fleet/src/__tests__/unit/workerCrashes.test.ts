import {NO_RESOURCES} from '@samphireramp/jobs';
import t from 'tap';
import type {Run} from '../../Run';
import type {Worker} from '../../Worker';
import {listCrashSuspects} from '../../workerCrashes';

/** When the last poll was answered, in the cases below. */
const ANSWERED_AT = 10_000;
/** When the first poll failed. */
const SILENT_SINCE = 10_400;
const WORKER = {answeredAt: ANSWERED_AT, silentSince: SILENT_SINCE} as Worker;

function buildRun(index: number, overrides: Partial<Run>): Run {
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
    expectsProgress: true,
    checkpoint: '',
    ...overrides,
  };
}

void t.test(
  'all runs that may have begun are suspected of a crash',
  async t => {
    const runs = [
      buildRun(0, {startedAt: 2000}),
      buildRun(1, {startedAt: SILENT_SINCE - 10}),
      buildRun(2, {startedAt: undefined, phase: 'reserved', startOrders: 0}),
      buildRun(3, {startedAt: undefined, phase: 'ordered'}),
      buildRun(4, {startedAt: undefined, phase: 'stopping'}),
    ];
    const suspects = listCrashSuspects(WORKER, runs);
    t.same(
      suspects.map(({runId, ageMillis}) => [runId.index, ageMillis]),
      [
        [3, undefined],
        [4, undefined],
        [1, 10],
        [0, SILENT_SINCE - 2000],
      ],
    );
  },
);

void t.test('a run is as old as when the polls began to fail', async t => {
  const started = [buildRun(0, {startedAt: ANSWERED_AT - 100})];
  t.equal(listCrashSuspects(WORKER, started)[0].ageMillis, 500);
  const unpolled = {...WORKER, silentSince: undefined};
  t.equal(listCrashSuspects(unpolled, started)[0].ageMillis, 100);
  const startedLater = [buildRun(0, {startedAt: SILENT_SINCE + 1})];
  t.equal(listCrashSuspects(WORKER, startedLater)[0].ageMillis, 0);
});
