import {RUNS, reserveRun} from '@samphireramp/fleet';
import type {ClientAccount, Resources} from '@samphireramp/jobs';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {buildAccount} from '@samphireramp/testing';
import fc from 'fast-check';
import t from 'tap';
import {createStartQuota} from '../../startQuota';

const RUN = createCommand<(update: Update) => void>('run');
const NEED = {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0};

/** Builds the quota of a pass, given the accounts of the runs that are known. */
function buildQuota(
  accounts: readonly ClientAccount[] | undefined,
  runs: readonly string[],
  reserved: Resources = NEED,
) {
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(RUNS);
  kernel.registerCommand(RUN, (update, run) => run(update));
  kernel.dispatch(RUN, update =>
    runs.forEach((account, index) =>
      reserveRun(update, {
        runId: {jobId: '0', occurrence: 0, step: 0, index, run: 1},
        incarnation: 'worker@1',
        account,
        reserved,
        expectedMillis: 1000,
        expectsProgress: true,
      }),
    ),
  );
  return createStartQuota(kernel, () => accounts);
}

void t.test(
  'each limited resource counts, with what the pass places',
  async t => {
    const accounts = [
      buildAccount('a', {cpuMillis: 5000, memoryMegabytes: 350}),
    ];
    const quota = buildQuota(accounts, ['a', 'b', '']);
    t.equal(quota.mostTasks('a', NEED, 9), 2, 'memory for two more');
    quota.take('a', NEED, 1);
    t.equal(quota.mostTasks('a', NEED, 9), 1);
    t.equal(quota.mostTasks('a', {...NEED, cpuMillis: 3001}, 9), 0);
  },
);

// Guards against a lowered limit that stops everything else, or starts more.
void t.test(
  'nothing starts above a lowered limit, only for that account',
  async t => {
    const accounts = [buildAccount('a', {cpuMillis: 1500}), buildAccount('b')];
    const quota = buildQuota(accounts, ['a', 'a', 'b']);
    t.equal(quota.mostTasks('a', {...NEED, cpuMillis: 0}, 9), 0);
    t.equal(quota.mostTasks('b', NEED, 9), 9);
  },
);

// Guards against runs of unknown jobs or removed accounts that block others.
void t.test('unknown accounts have no limit', async t => {
  const accounts = [buildAccount('a', {cpuMillis: 1000})];
  const quota = buildQuota(accounts, ['removed', '', '']);
  t.equal(quota.mostTasks('removed', NEED, 9), 9);
  t.equal(quota.mostTasks('', NEED, 9), 9);
  t.equal(quota.mostTasks('a', NEED, 9), 1);
});

// Guards against a new holder that places before it has read the limits.
void t.test('without a configuration no task of an account starts', async t => {
  const quota = buildQuota(undefined, []);
  t.equal(quota.mostTasks('a', NEED, 9), 0);
  t.equal(quota.mostTasks('', NEED, 9), 9);
});

void t.test(
  'no sequence of placements exceeds a limit, nor leaves room',
  async () => {
    const amount = fc.integer({min: 0, max: 20});
    const resources = fc.record({
      cpuMillis: amount,
      memoryMegabytes: amount,
      accelerators: amount,
    });
    fc.assert(
      fc.property(resources, fc.array(resources), (limit, needs) => {
        const quota = buildQuota([buildAccount('a', limit)], []);
        const used = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
        const names = Object.keys(used) as Array<keyof Resources>;
        const exceeds = (need: Resources) =>
          names.some(
            name => limit[name] > 0 && used[name] + need[name] > limit[name],
          );
        for (const need of needs) {
          const mayStart = quota.mostTasks('a', need, 1) === 1;
          if (mayStart === exceeds(need)) {
            return false;
          }
          if (mayStart) {
            quota.take('a', need, 1);
            names.forEach(name => (used[name] += need[name]));
          }
        }
        return true;
      }),
    );
  },
);
