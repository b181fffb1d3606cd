import t from 'tap';
import {TICKET_RESTART_FAULTS} from '../../site';
import {checkSchedules} from './checkSchedule';

void t.test(
  'no invariant breaks as workers with tickets restart and are cut off soon after',
  t => checkSchedules(t, TICKET_RESTART_FAULTS, {firstSeed: 820_026, count: 2}),
);
