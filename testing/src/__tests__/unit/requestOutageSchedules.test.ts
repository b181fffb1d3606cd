import t from 'tap';
import {REQUEST_FAULTS} from '../../site';
import {checkSchedules} from './checkSchedule';

// Guards against runs that a new holder loses or starts again, against workers and
// accounts above their limits, and against lost jobs and cancels, while the requests of
// some jobs can't be read.
void t.test(
  'no invariant breaks while partitions of requests are out of reach or slow',
  t => checkSchedules(t, REQUEST_FAULTS, {firstSeed: 810_001, count: 8}),
);
