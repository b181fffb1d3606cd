import type {Progress, Task} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import fc from 'fast-check';
import t from 'tap';
import {
  decodeJournal,
  decodeProgress,
  decodeRequests,
  encodeRequestTombstones,
  encodeJournalEntry,
  encodeProgress,
  encodeRequest,
} from '../../index';

const startedTask = fc.record({
  run: fc.integer({min: 1, max: 9}),
  failedRuns: fc.array(fc.integer({min: 1, max: 9}), {maxLength: 3}),
  crashedRuns: fc.array(fc.integer({min: 1, max: 9}), {maxLength: 3}),
  checkpoint: fc.string(),
  worker: fc.constantFrom('', 'i-1@7', 'i-2@8', 'i-3@9'),
});
const task: fc.Arbitrary<Task> = fc.oneof(
  fc.constantFrom<Task>(
    {
      phase: 'open',
      run: 0,
      failedRuns: [],
      crashedRuns: [],
      checkpoint: '',
      worker: '',
    },
    {
      phase: 'done',
      run: 0,
      failedRuns: [],
      crashedRuns: [],
      checkpoint: '',
      worker: '',
    },
  ),
  startedTask.map(original => ({
    ...original,
    phase: original.worker === '' ? ('open' as const) : ('placed' as const),
  })),
);
const progress: fc.Arbitrary<Progress> = fc.record({
  jobId: fc.constant('00000000000000aa'),
  queue: fc.string(),
  account: fc.string(),
  state: fc.constantFrom(
    'queued' as const,
    'running' as const,
    'failed' as const,
  ),
  receivedAt: fc.nat(),
  endedAt: fc.nat(),
  occurrences: fc.array(
    fc.record({number: fc.nat(9), steps: fc.array(fc.array(task))}),
    {maxLength: 3},
  ),
  nextOccurrence: fc.nat(9),
});

void t.test('progress survives encoding and decoding', async t => {
  fc.assert(
    fc.property(progress, original => {
      t.same(
        decodeProgress(original.jobId, encodeProgress(original)),
        original,
      );
    }),
    {numRuns: 100},
  );
});

/** Progress of a job whose tasks are placed on workers in turn. */
function buildPlacedProgress(tasks: number, workers: number): Progress {
  const steps = [
    Array.from({length: tasks}, (_, index): Task => {
      const worker = `i-${index % workers}556e98385@1776251519213`;
      return {
        phase: 'placed',
        run: 1,
        failedRuns: [],
        crashedRuns: [],
        checkpoint: '',
        worker,
      };
    }),
  ];
  return {
    jobId: '0b6b65ca05d3da36',
    queue: 'r-urrxcke',
    account: '',
    state: 'running',
    receivedAt: 1_776_251_549_270,
    endedAt: 0,
    occurrences: [{number: 0, steps}],
    nextOccurrence: 1,
  };
}

void t.test('the record of a wide step names each worker once', async t => {
  const wide = buildPlacedProgress(40, 14);
  const {length} = encodeProgress(wide);
  t.ok(length < 900, `${length} bytes for 40 tasks on 14 workers`);
  t.same(decodeProgress(wide.jobId, encodeProgress(wide)), wide);
});

void t.test('records of the earlier format are decoded', async t => {
  const value = Buffer.from(
    '{"queue":"q","state":"running","received":7,"ended":9,"next":1,' +
      '"occurrences":[[0,[[0,1,[2,[1],"7","i-1@7"],[3,[],"",""]]]]]}',
  );
  const tasks: Task[] = [
    {
      phase: 'open',
      run: 0,
      failedRuns: [],
      crashedRuns: [],
      checkpoint: '',
      worker: '',
    },
    {
      phase: 'done',
      run: 0,
      failedRuns: [],
      crashedRuns: [],
      checkpoint: '',
      worker: '',
    },
    {
      phase: 'placed',
      run: 2,
      failedRuns: [1],
      crashedRuns: [],
      checkpoint: '7',
      worker: 'i-1@7',
    },
    {
      phase: 'open',
      run: 3,
      failedRuns: [],
      crashedRuns: [],
      checkpoint: '',
      worker: '',
    },
  ];
  t.same(decodeProgress('00000000000000aa', value), {
    jobId: '00000000000000aa',
    queue: 'q',
    account: '',
    state: 'running',
    receivedAt: 7,
    endedAt: 9,
    occurrences: [{number: 0, steps: [tasks]}],
    nextOccurrence: 1,
  });
  const ended = '{"queue":"q","state":"queued","received":7,"next":0}';
  t.match(decodeProgress('x', Buffer.from(ended)), {
    endedAt: 0,
    occurrences: [],
  });
});

void t.test('a task without recorded crashes has none', async t => {
  const value = '["q","running",7,0,1,[],[[0,[[[3,-1,[1],"9"]]]]]]';
  const decoded = decodeProgress('x', Buffer.from(value));
  t.same(decoded?.occurrences[0]?.steps[0]?.[0]?.crashedRuns, []);
});

void t.test('a record that names an unknown worker is invalid', async t => {
  for (const task of ['3', '-1', '2.5', '[1,1]', '[1,-2]', '[1,1,[],""]']) {
    const value = `["q","running",7,0,1,["i-1@7"],[[0,[[${task}]]]]]`;
    t.equal(decodeProgress('x', Buffer.from(value)), undefined, task);
  }
});

void t.test(
  'invalid journal records are reported, tombstones decoded',
  async t => {
    t.equal(decodeProgress('x', Buffer.from('{"state":"lost"}')), undefined);
    const malformed: string[] = [];
    const records = [
      {key: 'job.x', value: Buffer.from('['), offset: 0},
      {key: 'unknown-key', value: Buffer.from('{}'), offset: 1},
      {key: 'job.y', value: Buffer.alloc(0), offset: 2},
    ];
    const entries = decodeJournal(records, key => malformed.push(key));
    t.same(malformed, ['job.x', 'unknown-key']);
    t.same(entries, [{offset: 2, entry: {kind: 'forgotten', jobId: 'y'}}]);
  },
);

void t.test('the holder record survives encoding and decoding', async t => {
  const record = {
    holder: 'host',
    incarnation: 'incarnation',
    term: 7,
    batch: 3,
    isResigned: false,
  };
  const encoded = encodeJournalEntry({kind: 'holder', record});
  const [decoded] = decodeJournal([{...encoded, offset: 4}], () => undefined);
  t.same(decoded, {offset: 4, entry: {kind: 'holder', record}});
});

void t.test('requests about jobs that are over are not decoded', async t => {
  const jobs = ['00000000000000aa', '00000000000000bb'].map(id =>
    buildJob(id, [buildStep()]),
  );
  const [over, active] = jobs.map((job, offset) => ({
    ...encodeRequest({kind: 'submit', job}),
    offset,
  }));
  const unreadable = {...over, value: Buffer.from('[')};
  const decoded = decodeRequests(
    [unreadable, active],
    jobId => jobId === jobs[0].id,
    key => t.fail(key),
  );
  t.same(decoded, [{kind: 'submit', job: jobs[1]}]);
});

void t.test('requests are decoded, tombstones are skipped', async t => {
  const job = buildJob('00000000000000aa', [buildStep({count: 3})]);
  const cancel = {kind: 'cancel', jobId: job.id, receivedAt: 9} as const;
  const accountCancels = ['', 'first'].map(account => ({...cancel, account}));
  const encoded = [
    encodeRequest({kind: 'submit', job}),
    encodeRequest(cancel),
    ...accountCancels.map(encodeRequest),
    ...encodeRequestTombstones('00000000000000ab'),
  ].map((record, offset) => ({...record, offset}));
  const decoded = decodeRequests(
    encoded,
    () => false,
    key => t.fail(key),
  );
  t.same(decoded, [{kind: 'submit', job}, cancel, ...accountCancels]);
});

void t.test('a job and progress without an account have none', async t => {
  const {account, ...job} = buildJob('00000000000000aa', [buildStep()]);
  const value = Buffer.from(JSON.stringify(job));
  const decoded = decodeRequests(
    [{key: `job.${job.id}`, value, offset: 0}],
    () => false,
    key => t.fail(key),
  );
  t.same(decoded, [{kind: 'submit', job: {...job, account}}]);
  const earlier = '["q","running",7,0,1,[],[]]';
  const progress = decodeProgress(job.id, Buffer.from(earlier));
  t.equal(progress?.account, '');
  t.equal(progress && encodeProgress(progress).toString(), earlier);
});

void t.test('bounds of leases survive encoding and decoding', async t => {
  const incarnation = 'i-1@1776251519213';
  const bound = {incarnation, term: 812, endsAtTermMillis: 10_504};
  const entries = [
    {kind: 'lease-bound', bound},
    {kind: 'lease-bound-lifted', incarnation},
  ] as const;
  const malformed: string[] = [];
  const records = entries.map((entry, offset) => ({
    ...encodeJournalEntry(entry),
    offset,
  }));
  const unreadable = {...records[0], value: Buffer.from('[812]'), offset: 2};
  // Of several in one read, only the newest counts.
  const decoded = [...records, unreadable].flatMap(record =>
    decodeJournal([record], key => malformed.push(key)),
  );
  t.same(
    decoded.map(({entry}) => entry),
    [...entries, entries[1]],
    'one that cannot be read is none',
  );
  t.same(malformed, []);
  t.ok(records[0].key.length + records[0].value.length < 50);
});

/** Decodes the crashes under the tasks of a step from its record. */
function decodeCrashes(taskRecords: unknown[]): number[][] | undefined {
  const record = ['queue', 'running', 0, 0, 1, [], [[0, [taskRecords]]]];
  const bytes = Buffer.from(JSON.stringify(record));
  const decoded = decodeProgress('00000000000000aa', bytes);
  return decoded?.occurrences[0].steps[0].map(({crashedRuns}) => crashedRuns);
}

// Guards against a gang that is given up for crashes that an earlier build charged to all.
void t.test(
  'of the crashes under a gang in earlier records no member is known',
  async t => {
    const member = [2, -1, [], '', [1, 2]];
    t.same(decodeCrashes([member, member]), [[0], [0]]);
    t.same(decodeCrashes([member]), [[1, 2]]);
    t.same(decodeCrashes([member, 0]), [[1, 2], []]);
    const ownCrash = [2, -1, [], '', [-1, -2]];
    t.same(decodeCrashes([ownCrash, ownCrash]), [
      [1, 2],
      [1, 2],
    ]);
    t.same(decodeCrashes([ownCrash, member]), [
      [1, 2],
      [1, 2],
    ]);
  },
);
