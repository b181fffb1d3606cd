import {newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  DURABLE_PROGRESS,
  HOLDING_TICK,
  JOURNAL_READ,
  heldTerm,
} from '../../index';
import {buildHost} from '../buildHost';

void t.test(
  'a claim read together with an own batch ends the holding',
  async t => {
    const {clock, kernel, readEmptyJournal, claimAt} = buildHost();
    readEmptyJournal();
    claimAt(1000);
    clock.now = 1200;
    kernel.dispatch(HOLDING_TICK, undefined);
    // The append of batch 1 has no answer. It is durable, and host-b has claimed
    // the site since and recorded a job.
    const record = {batch: 1, isResigned: false, term: 1};
    const job = buildJob('00000000000000aa', [buildStep()]);
    kernel.dispatch(JOURNAL_READ, {
      isSnapshot: false,
      sentAt: 0,
      entries: [
        {
          offset: 1,
          entry: {
            kind: 'holder',
            record: {
              ...record,
              holder: 'host-a',
              incarnation: 'incarnation-a',
            },
          },
        },
        {
          offset: 2,
          entry: {
            kind: 'holder',
            record: {
              ...record,
              holder: 'host-b',
              incarnation: 'incarnation-b',
              term: 3,
              batch: 0,
            },
          },
        },
        {offset: 3, entry: {kind: 'progress', progress: newProgress(job)}},
      ],
      endOffset: 4,
      logEndOffset: 4,
    });
    t.equal(heldTerm(kernel), undefined);
    t.ok(kernel.read(DURABLE_PROGRESS).has(job.id));
  },
);
