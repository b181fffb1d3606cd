import t from 'tap';
import {STREAM_FAULTS} from '../../site';
import {checkSchedules} from './checkSchedule';

void t.test(
  'no invariant breaks while the journal or its reserve is out of reach',
  t => checkSchedules(t, STREAM_FAULTS, {firstSeed: 740_001, count: 12}),
);
