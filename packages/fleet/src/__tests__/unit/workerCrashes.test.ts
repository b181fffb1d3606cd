import t from 'tap';
import type {Worker} from '../../Worker';
import {CRASH_SUSPICION_MILLIS, findCrashSuspects} from '../../workerCrashes';
import {buildRun} from './runFixture';

/** When the last poll was answered, in the cases below. */
const ANSWERED_AT = 10_000;
const WORKER = {answeredAt: ANSWERED_AT} as Worker;

void t.test('only runs that began last are suspected of a crash', async t => {
  const earlier = ANSWERED_AT - CRASH_SUSPICION_MILLIS - 1;
  const runs = [
    buildRun(0, {startedAt: earlier}),
    buildRun(1, {startedAt: ANSWERED_AT - 1}),
    buildRun(2, {startedAt: undefined, startOrders: 0}),
    buildRun(3, {startedAt: undefined, lastOrderAt: ANSWERED_AT}),
    buildRun(4, {startedAt: undefined, lastOrderAt: earlier}),
  ];
  const {started, unanswered} = findCrashSuspects(WORKER, runs);
  t.same(started, [runs[1]]);
  t.same(unanswered, [runs[3]]);
});

void t.test('the start of a later run clears an earlier one', async t => {
  const startedAt = ANSWERED_AT + CRASH_SUSPICION_MILLIS + 1;
  const runs = [
    buildRun(0, {startedAt: ANSWERED_AT}),
    buildRun(1, {startedAt}),
  ];
  t.same(findCrashSuspects(WORKER, runs).started, [runs[1]]);
});
