import type {ClientAccount} from '@samphireramp/jobs';
import {NO_RESOURCES, newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {accountLabel} from '../../accountGauges';
import {type AccountState, summarizeAccountUsage} from '../../accountUsage';

const WALL_NOW = 100_000;
const LIMIT = {cpuMillis: 8000, memoryMegabytes: 0, accelerators: 2};

function buildAccount(name: string, weight: number): ClientAccount {
  return {name, keyDigests: [`digest of ${name}`], weight, limit: LIMIT};
}

function buildRun(account: string, cpuMillis: number) {
  return {account, reserved: {...NO_RESOURCES, cpuMillis, accelerators: 1}};
}

function buildActiveJob(
  account: string,
  receivedAt: number,
  overrides: {state?: 'queued' | 'running'; firstDueAt?: number} = {},
) {
  const {state = 'queued', firstDueAt = 0} = overrides;
  const job = buildJob(`job of ${account}`, [buildStep()], {
    account,
    receivedAt,
    firstDueAt,
  });
  return {job, progress: {...newProgress(job), state}};
}

function buildState(overrides: Partial<AccountState> = {}): AccountState {
  return {
    accounts: [buildAccount('a', 3), buildAccount('b', 1)],
    activeJobs: [],
    runs: [],
    wallNow: WALL_NOW,
    ...overrides,
  };
}

void t.test(
  'usage is summed by account, without jobs and runs of none',
  async t => {
    const {shown, notShown} = summarizeAccountUsage(
      buildState({
        runs: [
          buildRun('a', 1000),
          buildRun('a', 2000),
          buildRun('b', 1000),
          buildRun('', 9000),
        ],
        activeJobs: [
          buildActiveJob('a', WALL_NOW - 300),
          buildActiveJob('a', WALL_NOW - 2100),
          buildActiveJob('', WALL_NOW - 5000),
        ],
      }),
      10,
    );
    t.equal(notShown, 0);
    t.same(shown, [
      {
        name: 'a',
        waitingJobs: 2,
        oldestWaitingMillis: 2100,
        running: {cpuMillis: 3000, memoryMegabytes: 0, accelerators: 2},
        limit: LIMIT,
        runShare: 0.75,
        weightShare: 0.75,
      },
      {
        name: 'b',
        waitingJobs: 0,
        oldestWaitingMillis: 0,
        running: {cpuMillis: 1000, memoryMegabytes: 0, accelerators: 1},
        limit: LIMIT,
        runShare: 0.25,
        weightShare: 0.25,
      },
    ]);
  },
);

void t.test(
  'a job waits from when it is due until its first task starts',
  async t => {
    const {shown} = summarizeAccountUsage(
      buildState({
        accounts: [buildAccount('a', 1)],
        activeJobs: [
          buildActiveJob('a', WALL_NOW - 9000, {state: 'running'}),
          buildActiveJob('a', WALL_NOW - 9000, {firstDueAt: WALL_NOW + 1}),
          buildActiveJob('a', WALL_NOW - 9000, {firstDueAt: WALL_NOW - 50}),
          // Received by a host whose clock is ahead.
          buildActiveJob('a', WALL_NOW + 500),
        ],
      }),
      10,
    );
    t.match(shown, [{waitingJobs: 2, oldestWaitingMillis: 50}]);
  },
);

void t.test('a removed account is shown while it has runs or jobs', async t => {
  const {shown} = summarizeAccountUsage(
    buildState({accounts: [], runs: [buildRun('removed', 500)]}),
    10,
  );
  t.match(shown, [
    {name: 'removed', runShare: 1, weightShare: 0, limit: NO_RESOURCES},
  ]);
});

void t.test('of too many accounts the busiest are shown', async t => {
  const accounts = Array.from({length: 10_000}, (_, index) =>
    buildAccount(`account-${index}`, 0),
  );
  const {shown, notShown} = summarizeAccountUsage(
    buildState({
      accounts,
      runs: [buildRun('account-7000', 500), buildRun('account-8000', 900)],
      activeJobs: [buildActiveJob('account-9000', WALL_NOW)],
    }),
    3,
  );
  t.same(
    shown.map(({name}) => name),
    ['account-9000', 'account-8000', 'account-7000'],
  );
  t.equal(notShown, 9997);
  t.notMatch(JSON.stringify(shown), /digest/);
});

void t.test(
  'labels of accounts are bounded, and differ if the names do',
  async t => {
    const names = ['team a', 'a"b', 'a\\b', 'a_b', 'a\nb', '', 'x'.repeat(900)];
    const labels = names.map(accountLabel);
    t.equal(new Set(labels).size, names.length);
    t.equal(labels[0], 'team a');
    for (const label of labels) {
      t.ok(label.length <= 64);
      t.notMatch(label, /["\\\n]/);
    }
  },
);
