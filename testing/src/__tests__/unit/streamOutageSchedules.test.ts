import t from 'tap';
import {STREAM_FAULTS} from '../../site';
import {checkSchedule} from './checkSchedule';

const FIRST_SEED = Number(process.env['SITE_SEED'] ?? 740_001);
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 12);

void t.test(
  'no invariant breaks while the journal or its reserve is out of reach',
  async t => {
    for (let index = 0; index < SCHEDULE_COUNT; index++) {
      await checkSchedule(FIRST_SEED + index, STREAM_FAULTS);
    }
    t.pass(`${SCHEDULE_COUNT} schedules`);
  },
);
