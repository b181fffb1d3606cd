import {newProgress} from '@samphireramp/jobs';
import {createCommand} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  DURABLE_PROGRESS,
  HOLDING_FENCED,
  type HolderRecord,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  heldTerm,
  recordProgress,
} from '../../index';
import {HOST_INCARNATION, HOST_NAME, buildHost} from '../buildHost';

const JOB = buildJob('00000000000000aa', [buildStep()]);
const RECORD_JOB = createCommand<void>('record-job');
const CLAIM: HolderRecord = {
  holder: HOST_NAME,
  incarnation: HOST_INCARNATION,
  term: 1,
  batch: 0,
  isResigned: false,
};

/** Builds a host that has claimed the site and recorded a job at offset 2. */
function buildHolder() {
  const {clock, kernel, readEmptyJournal, claimAt} = buildHost();
  kernel.registerCommand(RECORD_JOB, update =>
    recordProgress(update, newProgress(JOB)),
  );
  readEmptyJournal();
  claimAt(1000);
  clock.now = 1600;
  kernel.dispatch(RECORD_JOB, undefined);
  kernel.dispatch(JOURNAL_APPEND_ENDED, {
    append: 1,
    outcome: {kind: 'appended', offset: 1, endOffset: 3},
  });
  return {clock, kernel};
}

void t.test(
  'a snapshot older than own batches deletes no job that they recorded',
  async t => {
    const {clock, kernel} = buildHolder();
    t.ok(kernel.read(DURABLE_PROGRESS).has(JOB.id), 'known while it holds');
    clock.now = 1700;
    kernel.dispatch(HOLDING_FENCED, {worker: 'worker-0'});
    t.equal(heldTerm(kernel), undefined);
    kernel.dispatch(JOURNAL_READ, {
      entries: [{offset: 0, entry: {kind: 'holder', record: CLAIM}}],
      endOffset: 1,
      logEndOffset: 1,
      sentAt: 1400,
      isSnapshot: true,
    });
    t.ok(kernel.read(DURABLE_PROGRESS).has(JOB.id), 'known afterwards');
  },
);
