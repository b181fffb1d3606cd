import {RUNS, WORKERS} from '@samphireramp/fleet';
import {
  type SliceDefinition,
  type Update,
  createCommand,
  createKernel,
} from '@samphireramp/kernel';
import {type Resources, newOccurrence, newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import t from 'tap';
import {LIMITED_SINCE} from '../../accountWaits';
import {ADVICE} from '../../adviceState';
import {JOBS, newJobRow} from '../../DispatchState';
import {DISPATCH_EVENT} from '../../messages';
import {
  DEFAULT_PLACEMENT_FUNCTIONS,
  type StartQuota,
} from '../../placementFunctions';
import {RESERVATIONS} from '../../reservations';
import {
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  reportWaitingSteps,
} from '../../waitingSteps';

const CHANGE = createCommand<(update: Update) => void>('change');
const SLICES = [
  JOBS,
  SITE_CONFIGURATION,
  ADVICE,
  RESERVATIONS,
  WORKERS,
  RUNS,
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  LIMITED_SINCE,
] as SliceDefinition<unknown, unknown>[];
const ENOUGH: Resources = {
  cpuMillis: 9000,
  memoryMegabytes: 9000,
  accelerators: 9,
};

/** A quota that leaves each account the given resources; the rest is enough. */
function buildQuota(left: Partial<Resources>): StartQuota {
  const limits = {...ENOUGH, ...left};
  const resources = Object.keys(limits) as (keyof Resources)[];
  return {
    mostTasks: (_account, need, tasks) =>
      Math.min(
        tasks,
        ...resources.map(name =>
          need[name] === 0 ? Infinity : Math.floor(limits[name] / need[name]),
        ),
      ),
    fitsAt: (_account, _taskNeed, _tasks, now) => now,
    take: () => undefined,
    giveBack: () => undefined,
  };
}

/**
 * Jobs of the given accounts, each with a step of 4 tasks of 1 core, 1,000 MB and
 * 1 accelerator. Each check is a second after the one before.
 */
function buildWaitingSite(accounts: readonly string[], isGang = false) {
  const clock = {now: 0};
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  let events: unknown[] = [];
  SLICES.forEach(slice => kernel.registerSlice(slice));
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  kernel.registerEffect(DISPATCH_EVENT, event => events.push(event));
  const change = (apply: (update: Update) => void) =>
    kernel.dispatch(CHANGE, apply);
  const need = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 1};
  change(update =>
    accounts.forEach((account, index) => {
      const steps = [buildStep({count: 4, isGang, need})];
      const job = buildJob(`job-${index}`, steps, {account});
      const occurrences = [newOccurrence(job, 0)];
      const progress = {...newProgress(job), occurrences};
      update.write(JOBS).set(job.id, newJobRow(job, progress, 0));
    }),
  );
  /** Returns the events of a check. */
  const check = (createQuota: () => StartQuota) => {
    clock.now += 1000;
    events = [];
    change(update =>
      reportWaitingSteps(update, clock.now, {
        ...DEFAULT_PLACEMENT_FUNCTIONS,
        createStartQuota: createQuota,
      }),
    );
    return events;
  };
  return {check, change, kernel};
}

/** Checks a step with each quota in turn; the first three checks have the first. */
function checkInTurn(quotas: readonly StartQuota[], isGang = false): unknown[] {
  const {check} = buildWaitingSite(['team'], isGang);
  const [first] = quotas;
  return [first, first, ...quotas]
    .map(quota => check(() => quota))
    .flat()
    .map(event => (event as {atLimits?: string}).atLimits);
}

void t.test('limits are named with the time since a check', async t => {
  const cpu = buildQuota({cpuMillis: 999});
  const both = buildQuota({cpuMillis: 0, accelerators: 0});
  // A step of which one task may start does not wait for its account.
  const oneTask = buildQuota({cpuMillis: 1000});
  t.same(checkInTurn([cpu, both, oneTask, cpu]), [
    'cpu:2000',
    'cpu:3000,accelerators:0',
    undefined,
    'cpu:0',
  ]);
  const threeTasks = buildQuota({memoryMegabytes: 3000});
  const fourTasks = buildQuota({memoryMegabytes: 4000});
  t.same(checkInTurn([threeTasks, fourTasks], true), [
    'memory:2000',
    undefined,
  ]);
  // A refusal that no single resource explains is one of the account.
  const mostTasks = (_account: string, need: Resources) =>
    need.cpuMillis > 0 && need.memoryMegabytes > 0 ? 0 : Infinity;
  const refusing = {...cpu, mostTasks};
  t.same(checkInTurn([refusing]), ['account:2000']);
});

void t.test(
  'one of the steps at the limit of an account is reported',
  async t => {
    // More jobs of an account at its limit than one check reports.
    const accounts = [...Array.from({length: 9}, () => 'team'), ''];
    const {check, change, kernel} = buildWaitingSite(accounts);
    const checkAtLimit = () => check(() => buildQuota({cpuMillis: 0}));
    checkAtLimit();
    checkAtLimit();
    const events = checkAtLimit();
    t.equal(events.length, 2);
    t.match(events, [
      {
        event: 'step-waits',
        subject: 'job-0.0.0',
        millis: 2000,
        account: 'team',
        atLimits: 'cpu:2000',
      },
      {subject: 'job-9.0.0', account: undefined, atLimits: undefined},
    ]);
    change(update => update.write(JOBS).clear());
    checkAtLimit();
    t.equal(kernel.read(LIMITED_SINCE).size, 0);
  },
);

void t.test('without an account no quota is asked', async t => {
  const {check} = buildWaitingSite(['']);
  const failing = () => {
    throw new Error('no quota is expected');
  };
  for (const reported of [0, 0, 1]) {
    t.equal(check(failing).length, reported);
  }
});
