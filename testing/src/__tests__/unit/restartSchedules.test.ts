import t from 'tap';
import {RESTART_FAULTS} from '../../site';
import {checkSchedules} from './checkSchedule';

void t.test(
  'no invariant breaks as workers restart and are cut off soon after',
  t => checkSchedules(t, RESTART_FAULTS, {firstSeed: 810_046, count: 2}),
);
