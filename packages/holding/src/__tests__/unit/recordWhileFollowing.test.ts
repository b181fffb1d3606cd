import {newProgress} from '@samphireramp/jobs';
import {createCommand, createKernel} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  APPEND_JOURNAL,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  type JournalEntry,
  createHoldingPlugin,
  recordProgress,
} from '../../index';

void t.test(
  'progress recorded by a follower is not appended in a later term',
  async t => {
    const clock = {now: 0};
    const kernel = createKernel({
      now: () => clock.now,
      onError: error => {
        throw error;
      },
    });
    kernel.register(
      createHoldingPlugin({
        self: 'host-a',
        incarnation: 'incarnation-1',
        roundTripMillis: () => 1,
        claimDelayMillis: () => 0,
      }),
    );
    const appended: JournalEntry[][] = [];
    kernel.registerEffect(APPEND_JOURNAL, ({entries}) => {
      appended.push([...entries]);
    });
    const recordJob = createCommand<void>('decide');
    const job = buildJob('00000000000000aa', [buildStep()]);
    kernel.registerCommand(recordJob, update =>
      recordProgress(update, newProgress(job)),
    );
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: 0,
      logEndOffset: 0,
      sentAt: 0,
      isSnapshot: true,
    });
    kernel.dispatch(recordJob, undefined);
    clock.now = 1000;
    kernel.dispatch(HOLDING_TICK, undefined);
    const outcome = {kind: 'appended', offset: 0, endOffset: 1} as const;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {batch: 0, outcome});
    clock.now = 2000;
    kernel.dispatch(HOLDING_TICK, undefined);
    t.same(
      appended.map(entries => entries.map(({kind}) => kind)),
      [['holder'], ['holder']],
    );
  },
);
