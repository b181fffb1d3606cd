import t from 'tap';
import {ALL_FAULTS, runSiteSchedule} from '../../site';
import {
  type CrashScheduleOptions,
  runCrashSchedule,
} from './crashScheduleFixture';

/** Number of random schedules to run. */
const SCHEDULE_COUNT = Number(process.env['SITE_RUNS'] ?? 6);
const FIRST_SEED = Number(process.env['SITE_SEED'] ?? 700_001);
const FAULTS = {...ALL_FAULTS, crashingJobs: 3};
/** Number of schedules of each kind of crash. */
const CRASH_SCHEDULE_COUNT = Number(process.env['CRASH_RUNS'] ?? 2);
/** Times from the start of a run to the crash; undefined for a random one. */
const CRASH_TIMES = [10, 500, 1500, undefined];

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

// A task that crashes its workers later than a moment after its start must not go
// on without a bound, nor be taken for another one, also if starts are not confirmed.
for (const crashMillis of CRASH_TIMES) {
  for (const lostAnswerShare of [0, 0.3]) {
    for (const areGangs of [false, true]) {
      const options = {crashMillis, lostAnswerShare, areGangs};
      void t.test(describeOptions(options), async t => {
        for (let index = 0; index < CRASH_SCHEDULE_COUNT; index++) {
          const seed = FIRST_SEED + index;
          const report = await runCrashSchedule(seed, options);
          t.same(report.violations, [], `violations with seed ${seed}`);
          t.same(report.unexpected, [], `states with seed ${seed}`);
          t.same(report.errors, [], `errors with seed ${seed}`);
        }
      });
    }
  }
}

function describeOptions(options: CrashScheduleOptions): string {
  const {crashMillis, lostAnswerShare, areGangs} = options;
  return (
    `${areGangs ? 'gangs' : 'tasks'} that crash their workers ` +
    `${crashMillis === undefined ? 'at a random time' : `after ${crashMillis} ms`}` +
    ` are given up, with ${lostAnswerShare} of the answers lost`
  );
}
