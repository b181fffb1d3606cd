import t from 'tap';
import type {Run} from '../../Run';
import {listExpectedReleases} from '../../runTotals';
import {buildRun} from './runFixture';

const NOW = 10_000;

/** Returns in how long runs are expected to release their resources. */
function releaseInMillis(...runs: Array<Partial<Run>>): number[] {
  return listExpectedReleases(
    runs.map((run, index) => buildRun(index, run)),
    NOW,
  ).map(({at}) => at - NOW);
}

void t.test('runs are expected to end after their run time', async t => {
  const early = {startedAt: NOW - 100, expectedMillis: 400};
  const late = {startedAt: NOW - 100, expectedMillis: 900};
  t.same(releaseInMillis(late, early), [300, 800]);
  const ordered = {startedAt: undefined, confirmedAt: undefined};
  t.same(
    releaseInMillis({...ordered, lastOrderAt: NOW - 50, expectedMillis: 400}),
    [350],
  );
});

void t.test('what is done of a run counts', async t => {
  const half = {percentDone: 50, progressedAt: NOW - 100, expectedMillis: 1000};
  t.same(releaseInMillis(half), [400]);
});

// Guards against a gang that waits for a run without an end.
void t.test('a run without an end releases nothing', async t => {
  t.same(releaseInMillis({}, {percentDone: 100}), []);
  t.same(releaseInMillis({phase: 'stopping', lastOrderAt: NOW}), [1000]);
});

void t.test('a run that is overdue may take as long again', async t => {
  const overdue = (millis: number) => ({
    startedAt: NOW - 500 - millis,
    expectedMillis: 500,
  });
  t.same(releaseInMillis(overdue(10)), [100]);
  t.same(releaseInMillis(overdue(700)), [700]);
});
