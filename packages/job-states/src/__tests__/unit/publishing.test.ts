import {DURABLE_PROGRESS, PROGRESS_DURABLE} from '@samphireramp/holding';
import type {JobState, Progress} from '@samphireramp/jobs';
import {type Kernel, createCommand} from '@samphireramp/kernel';
import t from 'tap';
import {JOB_STATES, type StateEntry} from '../../index';
import {OTHER_HOLDER, buildHost} from '../buildHost';

const JOB_ID = '00000000000000aa';

function buildProgress(state: JobState): Progress {
  return {
    jobId: JOB_ID,
    queue: 'queue',
    account: '',
    state,
    receivedAt: 0,
    endedAt: 0,
    occurrences: [],
    nextOccurrence: 0,
  };
}

/** Makes progress durable, as if a batch of the journal had been appended. */
function makeDurable(kernel: Kernel, progress: Progress): void {
  const setProgress = createCommand<void>('set-progress');
  const unregister = kernel.registerCommand(setProgress, update => {
    update.write(DURABLE_PROGRESS).set(progress.jobId, progress);
    update.dispatch(PROGRESS_DURABLE, {
      entries: [{kind: 'progress', progress}],
    });
  });
  kernel.dispatch(setProgress, undefined);
  unregister();
}

function statesIn(entries: readonly StateEntry[] = []): string[] {
  return entries.flatMap(entry => (entry.kind === 'state' ? entry.state : []));
}

/** Builds a holder that has published what it knows. */
function buildHolder() {
  const host = buildHost();
  host.beginHolding();
  host.answerAppend({kind: 'appended', offset: 0, endOffset: 2});
  host.clock.now += 40;
  return host;
}

void t.test('a state is shown once its record is appended', async t => {
  const {kernel, appends, answerAppend} = buildHolder();
  makeDurable(kernel, buildProgress('running'));
  t.same(statesIn(appends.at(-1)?.entries), ['running']);
  t.equal(appends.at(-1)?.expectedEnd, 2);
  t.notOk(kernel.read(JOB_STATES).has(JOB_ID));
  answerAppend({kind: 'appended', offset: 2, endOffset: 4});
  t.equal(kernel.read(JOB_STATES).get(JOB_ID)?.state, 'running');
});

void t.test('changes while an append is open share the next one', async t => {
  const {clock, kernel, appends, answerAppend} = buildHolder();
  makeDurable(kernel, buildProgress('queued'));
  const {length} = appends;
  makeDurable(kernel, buildProgress('running'));
  makeDurable(kernel, buildProgress('completed'));
  t.equal(appends.length, length);
  clock.now += 40;
  answerAppend({kind: 'appended', offset: 2, endOffset: 4});
  t.same(statesIn(appends.at(-1)?.entries), ['completed']);
});

void t.test('a state whose append failed is published again', async t => {
  const {kernel, clock, appends, answerAppend, tickAt} = buildHolder();
  makeDurable(kernel, buildProgress('running'));
  answerAppend({kind: 'unknown', detail: 'no answer'});
  tickAt(clock.now + 50);
  t.same(statesIn(appends.at(-1)?.entries), ['running']);
  t.equal(appends.at(-1)?.expectedEnd, 2);
});

void t.test(
  'after a conflict nothing is appended until the stream was read',
  async t => {
    const {kernel, clock, appends, answerAppend, tickAt, readStates} =
      buildHolder();
    makeDurable(kernel, buildProgress('running'));
    answerAppend({kind: 'conflict', endOffset: 4});
    const {length} = appends;
    tickAt(clock.now + 400);
    t.equal(appends.length, length);
    const entry = {
      jobId: JOB_ID,
      queue: 'queue',
      account: '',
      state: 'queued',
    } as const;
    readStates(
      [
        {kind: 'holder', record: OTHER_HOLDER},
        {kind: 'state', ...entry},
      ],
      2,
    );
    t.same(statesIn(appends.at(-1)?.entries), ['running']);
    t.equal(appends.at(-1)?.expectedEnd, 4);
  },
);

void t.test(
  'an older state that an earlier holder publishes late is corrected',
  async t => {
    const {kernel, clock, appends, answerAppend, readStates} = buildHolder();
    makeDurable(kernel, buildProgress('completed'));
    answerAppend({kind: 'appended', offset: 2, endOffset: 4});
    clock.now += 40;
    const entry = {
      jobId: JOB_ID,
      queue: 'queue',
      account: '',
      state: 'running',
    } as const;
    readStates([{kind: 'state', ...entry}], 4);
    t.same(statesIn(appends.at(-1)?.entries), ['completed']);
  },
);

void t.test('a host that holds nothing appends nothing', async t => {
  const {kernel, appends, readStates, tickAt} = buildHost();
  readStates([{kind: 'holder', record: OTHER_HOLDER}]);
  makeDurable(kernel, buildProgress('running'));
  tickAt(5000);
  t.same(appends, []);
});
