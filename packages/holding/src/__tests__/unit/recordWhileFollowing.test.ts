import {newProgress} from '@samphireramp/jobs';
import {createCommand, createKernel} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  APPEND_JOURNAL,
  HOLDING_TICK,
  JOURNAL_APPENDED,
  JOURNAL_READ,
  type JournalEntry,
  createHoldingPlugin,
  recordProgress,
} from '../../index';

void t.test(
  'what is decided without the site is not written later',
  async t => {
    const state = {now: 0};
    const kernel = createKernel({
      now: () => state.now,
      onError: error => {
        throw error;
      },
    });
    kernel.register(
      createHoldingPlugin({
        self: 'host-a',
        incarnation: 'life',
        roundTripMillis: () => 1,
        claimDelayMillis: () => 0,
      }),
    );
    const written: JournalEntry[][] = [];
    kernel.registerEffect(APPEND_JOURNAL, ({entries}) => {
      written.push([...entries]);
    });
    const decide = createCommand<void>('decide');
    const job = buildJob('00000000000000aa', [buildStep()]);
    kernel.registerCommand(decide, update =>
      recordProgress(update, newProgress(job)),
    );
    kernel.dispatch(JOURNAL_READ, {entries: [], end: 0, isSnapshot: true});
    kernel.dispatch(decide, undefined);
    state.now = 1000;
    kernel.dispatch(HOLDING_TICK, undefined);
    const outcome = {kind: 'appended', offset: 0, end: 1} as const;
    kernel.dispatch(JOURNAL_APPENDED, {batch: 0, outcome});
    state.now = 2000;
    kernel.dispatch(HOLDING_TICK, undefined);
    t.same(
      written.map(entries => entries.map(({kind}) => kind)),
      [['holder'], ['holder']],
    );
  },
);
