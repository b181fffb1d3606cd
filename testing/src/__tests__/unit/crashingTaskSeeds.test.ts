import t from 'tap';
import {ALL_FAULTS, runSiteSchedule} from '../../site';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 6);
const FIRST_SEED = Number(process.env['SITE_SEED'] ?? 700_001);
const FAULTS = {...ALL_FAULTS, crashingJobs: 3};

void t.test(
  'no schedule with tasks that crash workers violates an invariant',
  async t => {
    for (let index = 0; index < SCHEDULE_COUNT; index++) {
      const seed = FIRST_SEED + index;
      const report = await runSiteSchedule(seed, FAULTS);
      t.same(report.violations, [], `violations with seed ${seed}`);
      t.same(report.unfinished, [], `unfinished jobs with seed ${seed}`);
      t.same(report.errors, [], `errors with seed ${seed}`);
    }
  },
);
