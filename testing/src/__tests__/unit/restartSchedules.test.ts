import t from 'tap';
import {RESTART_FAULTS, TICKET_RESTART_FAULTS} from '../../site';
import {checkSchedules} from './checkSchedule';

void t.test(
  'no invariant breaks as workers restart and are cut off soon after',
  t => checkSchedules(t, RESTART_FAULTS, {firstSeed: 810_046, count: 2}),
);

void t.test('no invariant breaks as such workers have runs with tickets', t =>
  checkSchedules(t, TICKET_RESTART_FAULTS, {firstSeed: 820_026, count: 2}),
);
