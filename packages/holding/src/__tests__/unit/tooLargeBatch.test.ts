import {type Progress, newProgress} from '@samphireramp/jobs';
import {createCommand} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  APPEND_JOURNAL,
  DURABLE_PROGRESS,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  PROGRESS_TOO_LARGE,
  dispatchWhenDurable,
  recordProgress,
} from '../../index';
import {buildHost} from '../buildHost';

const JOBS = 7;
const RECORD = createCommand<readonly Progress[]>('record');
const DURABLE = createCommand<void>('durable');

/** Builds progress of jobs with ids that end in 0, 1, 2 and so on. */
function buildProgress(): Progress[] {
  return Array.from({length: JOBS}, (_, index) =>
    newProgress(buildJob(`00000000000000a${index}`, [buildStep()])),
  );
}

/** Builds a holder whose log takes at most `maxEntries` at once, and not `culprit`. */
function buildHolder(maxEntries: number, culprit?: string) {
  const {clock, kernel, readEmptyJournal, claimAt} = buildHost();
  const tooLarge: string[] = [];
  const durableAtCommand: number[] = [];
  let endOffset = 1;
  let isAnswering = false;
  kernel.registerEffect(APPEND_JOURNAL, ({append, entries}) => {
    const isRefused =
      entries.length - 1 > maxEntries ||
      entries.some(
        entry => entry.kind === 'progress' && entry.progress.jobId === culprit,
      );
    if (!isAnswering) {
      return;
    }
    const offset = endOffset;
    endOffset += isRefused ? 0 : entries.length;
    const outcome = isRefused
      ? ({kind: 'too-large', detail: 'of many bytes'} as const)
      : ({kind: 'appended', offset, endOffset} as const);
    kernel.dispatch(JOURNAL_APPEND_ENDED, {append, outcome});
  });
  kernel.registerCommand(RECORD, (update, all) => {
    all.forEach(progress => recordProgress(update, progress));
    dispatchWhenDurable(update, DURABLE, undefined);
  });
  kernel.registerCommand(DURABLE, update => {
    durableAtCommand.push(update.read(DURABLE_PROGRESS).size);
  });
  kernel.registerCommand(PROGRESS_TOO_LARGE, (_, {jobId}) => {
    tooLarge.push(jobId);
  });
  readEmptyJournal();
  claimAt(1000);
  isAnswering = true;
  clock.now = 2000;
  kernel.dispatch(HOLDING_TICK, undefined);
  return {kernel, tooLarge, durableAtCommand};
}

void t.test(
  'a batch larger than the log takes is appended in parts',
  async t => {
    const {kernel, tooLarge, durableAtCommand} = buildHolder(2);
    kernel.dispatch(RECORD, buildProgress());
    t.equal(kernel.read(DURABLE_PROGRESS).size, JOBS);
    t.strictSame(tooLarge, []);
    t.strictSame(durableAtCommand, [JOBS]);
  },
);

void t.test('a job too large for the log stops no other job', async t => {
  const culprit = '00000000000000a3';
  const {kernel, tooLarge, durableAtCommand} = buildHolder(Infinity, culprit);
  kernel.dispatch(RECORD, buildProgress());
  t.strictSame(tooLarge, [culprit]);
  t.equal(kernel.read(DURABLE_PROGRESS).size, JOBS - 1);
  t.equal(kernel.read(DURABLE_PROGRESS).has(culprit), false);
  t.strictSame(durableAtCommand, [JOBS - 1]);
});
