import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {NO_RESOURCES, newOccurrence, newProgress} from '@samphireramp/jobs';
import {buildJob, buildPolicy, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  AccountWaits,
  LIMITED_SINCE,
  describeLimits,
  forgetLimitsExcept,
} from '../../accountWaits';
import {makeReadyStep} from '../../candidates';
import {newJobRow} from '../../DispatchState';
import type {StartQuota} from '../../placementFunctions';

const CHANGE = createCommand<(update: Update) => void>('change');
const KEY = 'job.0.0';

/** A ready step of 4 tasks of 1 core, 1,000 MB and 1 accelerator each. */
function buildReadyStep(isGang: boolean, account = 'team') {
  const need = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 1};
  const job = buildJob('job', [buildStep({count: 4, isGang, need})], {account});
  const row = newJobRow(job, newProgress(job), 0);
  const readyStep = makeReadyStep(row, buildPolicy(), newOccurrence(job, 0), 0);
  if (readyStep === undefined) {
    throw new Error('the step is not ready');
  }
  return readyStep;
}

/** A quota that leaves an account the given resources. */
function buildQuota(left: Partial<typeof NO_RESOURCES>): StartQuota {
  const {cpuMillis, memoryMegabytes, accelerators} = {
    cpuMillis: Infinity,
    memoryMegabytes: Infinity,
    accelerators: Infinity,
    ...left,
  };
  const countFits = (amount: number, need: number) =>
    need === 0 ? Infinity : Math.floor(amount / need);
  return {
    mostTasks: (_account, need, tasks) =>
      Math.min(
        tasks,
        countFits(cpuMillis, need.cpuMillis),
        countFits(memoryMegabytes, need.memoryMegabytes),
        countFits(accelerators, need.accelerators),
      ),
    take: () => undefined,
  };
}

/** Checks a step at given times, and returns the limits after each check. */
function buildChecks(isGang = false, account?: string) {
  const readyStep = buildReadyStep(isGang, account);
  const clock = {now: 0};
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(LIMITED_SINCE);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const checkAt = (now: number, createQuota: () => StartQuota) => {
    clock.now = now;
    let limits: string | undefined;
    kernel.dispatch(CHANGE, update => {
      new AccountWaits(update, createQuota).observe(readyStep);
      limits = describeLimits(update, KEY);
    });
    return limits;
  };
  const forget = (waiting: string[]) =>
    kernel.dispatch(CHANGE, update =>
      forgetLimitsExcept(update, new Map(waiting.map(key => [key, true]))),
    );
  return {checkAt, forget, kernel};
}

void t.test(
  'a limit is named with the time since a check found it',
  async t => {
    const {checkAt, forget, kernel} = buildChecks();
    const atLimit = () => buildQuota({cpuMillis: 999});
    t.equal(checkAt(0, atLimit), 'cpu:0');
    t.equal(checkAt(2100, atLimit), 'cpu:2100');
    const atBoth = () => buildQuota({cpuMillis: 0, accelerators: 0});
    t.equal(checkAt(3100, atBoth), 'cpu:3100,accelerators:0');
    // A step of which one task may start does not wait for its account.
    t.equal(
      checkAt(4000, () => buildQuota({cpuMillis: 1000})),
      undefined,
    );
    t.equal(checkAt(5000, atLimit), 'cpu:0');
    forget([KEY]);
    t.equal(kernel.read(LIMITED_SINCE).size, 1);
    forget([]);
    t.equal(kernel.read(LIMITED_SINCE).size, 0);
  },
);

void t.test(
  'a gang waits until all its tasks are within the limit',
  async t => {
    const {checkAt} = buildChecks(true);
    const quotaFor = (tasks: number) => () =>
      buildQuota({memoryMegabytes: tasks * 1000});
    t.equal(checkAt(0, quotaFor(3)), 'memory:0');
    t.equal(checkAt(10, quotaFor(4)), undefined);
  },
);

void t.test(
  'a refusal that no single resource explains is one of the account',
  async t => {
    const {checkAt} = buildChecks();
    const refusing = () => ({
      mostTasks: (_account: string, need: typeof NO_RESOURCES) =>
        need.cpuMillis > 0 && need.memoryMegabytes > 0 ? 0 : Infinity,
      take: () => undefined,
    });
    t.equal(checkAt(0, refusing), 'account:0');
  },
);

void t.test('without an account no quota is asked', async t => {
  const {checkAt} = buildChecks(false, '');
  const failing = () => {
    throw new Error('no quota is expected');
  };
  t.equal(checkAt(0, failing), undefined);
});
