import t from 'tap';
import {REFUSAL_FAULTS, runSiteSchedule} from '../../site';

const FIRST_SEED = Number(process.env['SITE_SEED'] ?? 1);
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 6);

void t.test(
  'no schedule in which workers refuse orders violates an invariant',
  async t => {
    for (let index = 0; index < SCHEDULE_COUNT; index++) {
      const seed = FIRST_SEED + index;
      const report = await runSiteSchedule(seed, REFUSAL_FAULTS);
      t.same(report.violations, [], `violations with seed ${seed}`);
      t.same(report.unfinished, [], `unfinished jobs with seed ${seed}`);
      t.same(report.errors, [], `errors with seed ${seed}`);
    }
  },
);
