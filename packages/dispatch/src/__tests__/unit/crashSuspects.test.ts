import {NEW_TASK, type Task, UNATTRIBUTED_RUN} from '@samphireramp/jobs';
import {buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  chooseCharged,
  isGivenUp,
  isOnlySuspect,
  listSuspected,
  withCrash,
} from '../../crashSuspects';

function buildTask(crashedRuns: number[]): Task {
  return {...NEW_TASK, phase: 'placed', run: 9, crashedRuns};
}

function buildSuspect(key: string, crashedRuns: number[]) {
  return {key, task: buildTask(crashedRuns)};
}

void t.test('a crash is charged to those suspected most often', async t => {
  const fresh = buildSuspect('a', []);
  const suspected = buildSuspect('b', [1]);
  const other = buildSuspect('c', [3]);
  t.same(chooseCharged([fresh, suspected, other]), [suspected, other]);
  t.same(chooseCharged([fresh, buildSuspect('d', [])]).length, 2);
  t.same(chooseCharged([]), []);
});

// Guards against a member that is charged for what a task beside it did.
void t.test(
  'a member is charged first only for crashes under itself',
  async t => {
    const member = buildSuspect('gang', [UNATTRIBUTED_RUN]);
    const guilty = buildSuspect('a', [1]);
    t.same(chooseCharged([member, guilty]), [guilty]);
    const fresh = buildSuspect('b', []);
    t.same(chooseCharged([member, fresh]), [member, fresh]);
    t.notOk(isGivenUp(buildTask([UNATTRIBUTED_RUN, 1]), true));
    t.ok(isGivenUp(buildTask([UNATTRIBUTED_RUN, 1, 2]), true));
  },
);

void t.test('a gang is on trial as a whole, other tasks alone', async t => {
  const tasks = [buildTask([]), buildTask([1])];
  t.same([...listSuspected(buildStep({isGang: true}), tasks)], [0, 1]);
  t.same([...listSuspected(buildStep(), tasks)], [1]);
  t.equal(listSuspected(buildStep(), [buildTask([])]).size, 0);
});

void t.test('one task or one gang is the only suspect', async t => {
  const member = buildSuspect('gang', []);
  t.ok(isOnlySuspect([member, member], false));
  t.notOk(isOnlySuspect([member, buildSuspect('a', [])], false));
  t.notOk(isOnlySuspect([member], true));
  t.notOk(isOnlySuspect([], false));
});

void t.test('no task is given up for one crash', async t => {
  t.notOk(isGivenUp(buildTask([1]), true));
  t.ok(isGivenUp(buildTask([1, 2]), true));
  t.notOk(isGivenUp(buildTask([1, 2]), false));
  t.ok(isGivenUp(buildTask([1, 2, 4]), false));
});

void t.test('a crash under one run counts once', async t => {
  const charged = withCrash(buildTask([1]), 2);
  t.same(charged.crashedRuns, [1, 2]);
  t.equal(withCrash(charged, 2), charged);
  const done: Task = {...NEW_TASK, phase: 'done'};
  t.equal(withCrash(done, 2), done);
});
