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
  // Names that look like parts of the format.
  ...['a', '12:b', ':', 'Q', '\n', 'ключ', '😀'].flatMap(account =>
    ['', 'q', '3:abc', 'Q\n'].map(
      queue =>
        ({
          kind: 'state',
          jobId: JOB_ID,
          queue,
          account,
          state: 'running',
        }) as const,
    ),
  ),
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
      ...['Q', 'Qqueue', 'Q0:queue', 'Q6:queue', 'Q-1:q', 'Z1:aq'].map(
        value => [`job.${JOB_ID}`, value],
      ),
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

void t.test('a record of the earlier format has no account', async t => {
  const value = Buffer.from('rqueue-1');
  const [decoded] = decodeStates(
    [{key: `job.${JOB_ID}`, value, offset: 0}],
    key => t.fail(key),
  );
  t.match(decoded.entry, {queue: 'queue-1', account: '', state: 'running'});
  // What needs no account is written as before, so that earlier builds read it.
  t.same(encodeStateEntry(decoded.entry).value, value);
});
