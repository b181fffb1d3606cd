import {NEW_TASK, type Task} from '@samphireramp/jobs';
import t from 'tap';
import {
  type CrashedRun,
  YOUNG_RUN_MILLIS,
  chooseTrial,
  isCharged,
  isGivenUp,
  withCrash,
} from '../../crashSuspects';

const OLD = YOUNG_RUN_MILLIS + 1;

function buildTask(crashedRuns: number[]): Task {
  return {...NEW_TASK, phase: 'placed', run: 9, crashedRuns};
}

/** Builds a crash under a run beside others; `overrides` replaces fields. */
function buildCrash(run: number, overrides: Partial<CrashedRun> = {}) {
  return {
    run,
    hasBegun: true,
    ageMillis: 1,
    isTriedAlone: false,
    hasOtherCause: false,
    ...overrides,
  };
}

function crashInTrial(run: number, ageMillis: number | undefined) {
  return buildCrash(run, {ageMillis, isTriedAlone: true});
}

void t.test('a task is never given up for crashes beside others', async t => {
  let task = buildTask([]);
  for (let run = 1; run <= 20; run++) {
    task = withCrash(task, buildCrash(run));
    t.notOk(isGivenUp(task), `after ${run} crashes`);
  }
});

void t.test('no task is given up for one crash', async t => {
  t.notOk(isGivenUp(withCrash(buildTask([]), crashInTrial(1, 1))));
});

void t.test(
  'a task is given up for two crashes of workers of its own',
  async t => {
    const once = withCrash(buildTask([1]), crashInTrial(2, OLD));
    t.notOk(isGivenUp(once));
    t.ok(isGivenUp(withCrash(once, crashInTrial(3, undefined))));
    const youngOnce = withCrash(buildTask([1]), crashInTrial(2, 10));
    t.ok(isGivenUp(youngOnce), 'one just after its start counts twice');
  },
);

void t.test('the second crash of a task has it tried alone', async t => {
  t.equal(chooseTrial(buildTask([])), 'none');
  t.equal(chooseTrial(buildTask([1])), 'apart');
  t.equal(chooseTrial(buildTask([1, 1])), 'quiet');
  t.equal(chooseTrial(buildTask([1, 2])), 'alone');
});

void t.test(
  'the entries of a task are bounded, the strongest stay',
  async t => {
    let task = buildTask([-1]);
    for (let run = 2; run <= 20; run++) {
      task = withCrash(task, buildCrash(run));
    }
    t.equal(task.crashedRuns.length, 6);
    t.ok(task.crashedRuns.includes(-1));
    t.ok(isCharged(task, 1));
    t.ok(isCharged(task, 20));
    t.notOk(isCharged(task, 2));
  },
);

void t.test('a task that is done is not charged', async t => {
  const done: Task = {...NEW_TASK, phase: 'done'};
  t.equal(withCrash(done, crashInTrial(2, 1)), done);
});

void t.test(
  'a run that may not have begun is no crash under a task',
  async t => {
    const once = withCrash(buildTask([]), buildCrash(1, {hasBegun: false}));
    t.equal(chooseTrial(once), 'apart');
    t.notOk(isGivenUp(withCrash(once, crashInTrial(2, 1))));
  },
);

void t.test('the loss of a rack makes no new suspects', async t => {
  const hasOtherCause = true;
  const task = buildTask([]);
  t.equal(withCrash(task, buildCrash(1, {hasOtherCause})), task);
  const suspected = buildTask([1]);
  const inTrial = {...crashInTrial(2, 1), hasOtherCause};
  t.notOk(isGivenUp(withCrash(suspected, inTrial)));
});
