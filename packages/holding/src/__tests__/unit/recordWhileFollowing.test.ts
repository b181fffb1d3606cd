import {newProgress} from '@samphireramp/jobs';
import {createCommand} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  APPEND_JOURNAL,
  HOLDING_TICK,
  type JournalEntry,
  recordProgress,
} from '../../index';
import {buildHost} from '../buildHost';

void t.test(
  'progress recorded by a follower is not appended in a later term',
  async t => {
    const {clock, kernel, readEmptyJournal, claimAt} = buildHost();
    const appended: JournalEntry[][] = [];
    kernel.registerEffect(APPEND_JOURNAL, ({entries}) => {
      appended.push([...entries]);
    });
    const recordJob = createCommand<void>('decide');
    const job = buildJob('00000000000000aa', [buildStep()]);
    kernel.registerCommand(recordJob, update =>
      recordProgress(update, newProgress(job)),
    );
    readEmptyJournal();
    kernel.dispatch(recordJob, undefined);
    claimAt(1000);
    clock.now = 2000;
    kernel.dispatch(HOLDING_TICK, undefined);
    t.same(
      appended.map(entries => entries.map(({kind}) => kind)),
      [['holder'], ['holder']],
    );
  },
);
