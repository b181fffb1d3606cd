import type {StateEntry} from '@samphireramp/job-states';
import t from 'tap';
import {decodeStates, encodeStateEntry} from '../../index';

const JOB_ID = '00000000000000aa';
const ENTRIES: readonly StateEntry[] = [
  {
    kind: 'holder',
    record: {
      holder: 'host',
      incarnation: 'incarnation',
      term: 7,
      batch: 3,
      isResigned: false,
      requestsAgeMillis: 12,
    },
  },
  {kind: 'standbys', hosts: ['host-a', 'host-b']},
  {
    kind: 'state',
    jobId: JOB_ID,
    queue: 'queue-1',
    account: '',
    state: 'queued',
  },
  {kind: 'state', jobId: JOB_ID, queue: 'q', account: '', state: 'running'},
  {kind: 'state', jobId: JOB_ID, queue: 'c', account: '', state: 'completed'},
  {kind: 'state', jobId: JOB_ID, queue: 'x', account: '', state: 'failed'},
  {kind: 'state', jobId: JOB_ID, queue: '', account: '', state: 'cancelled'},
  {kind: 'forgotten', jobId: JOB_ID},
];

void t.test('entries of job states survive encoding and decoding', async t => {
  const records = ENTRIES.map((entry, offset) => ({
    ...encodeStateEntry(entry),
    offset,
  }));
  const decoded = decodeStates(records, key => t.fail(key));
  t.same(
    decoded.map(({entry}) => entry),
    ENTRIES,
  );
});

void t.test(
  'invalid records of job states are reported and skipped',
  async t => {
    const invalid = [
      ['holder', '["host"]'],
      ['standbys', '{"a":1}'],
      [`job.${JOB_ID}`, 'zqueue'],
      ['other', 'qqueue'],
    ];
    const records = invalid.map(([key, value], offset) => ({
      key,
      value: Buffer.from(value),
      offset,
    }));
    const malformed: string[] = [];
    t.same(
      decodeStates(records, key => malformed.push(key)),
      [],
    );
    t.same(
      malformed,
      invalid.map(([key]) => key),
    );
  },
);
