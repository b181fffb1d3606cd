import {
  type LogFields,
  LogEvent,
  createLineWriter,
  formatEvent,
} from '@samphireramp/telemetry';
import t from 'tap';
import {
  type LogLine,
  explainJob,
  parseLogLine,
  parseLogLines,
} from '../../index';

const ACCEPTED =
  '2026-02-05T22:23:12.711Z samphireramp:host event=submit-accepted job=00000000000000a1 queue=q detail=tries-1 millis=11';
const ADVISED =
  '  27.3 host-b 2026-02-05T22:23:13.304Z samphireramp:host event=advised subject=00000000000000a1.0.0 detail="answered via host-c, 1 of 1" millis=123 term=6531';
const NEW_HOLDER =
  '2026-02-05T22:23:12.969Z samphireramp:host event=holding-began term=6531 holder=host-b';
const OTHER_JOB =
  '2026-02-05T22:23:13.100Z samphireramp:host event=job-completed subject=00000000000000a2 queue=q';
const COMPLETED =
  '2026-02-05T22:23:15.000Z samphireramp:host event=job-completed subject=00000000000000a1 queue=q detail=objective-in-5';
const UNSURE =
  '2026-02-05T22:23:14.000Z samphireramp:host event=status-unsure job=00000000000000a1 copyEnd=7 journalEnd=9';
const LATE_RUN_END =
  '2026-02-05T22:23:15.200Z samphireramp:host event=run-ended subject=00000000000000a1.0.0.1#1 worker=w-1@5 detail=stopped-unneeded';

function parseLines(...texts: string[]): LogLine[] {
  return texts.map(text => {
    const line = parseLogLine(text, 'file');
    if (line === undefined) {
      throw new Error(`not a log line: ${text}`);
    }
    return line;
  });
}

void t.test(
  'the word before the time is the source of a line, if there is one',
  async t => {
    const [advised, accepted] = parseLines(ADVISED, ACCEPTED);
    t.same(advised, {
      source: 'host-b',
      at: Date.parse('2026-02-05T22:23:13.304Z'),
      event: 'advised',
      fields: {
        subject: '00000000000000a1.0.0',
        detail: 'answered via host-c, 1 of 1',
        millis: '123',
        term: '6531',
      },
    });
    t.equal(accepted.source, 'file');
  },
);

void t.test('text that the daemon did not write is ignored', async t => {
  for (const text of ['', 'npm warn', 'event=started', '2026-02-05 event=x']) {
    t.equal(parseLogLine(text, 'file'), undefined);
  }
  const truncated = parseLogLine(ADVISED.slice(0, 120), 'file');
  t.equal(truncated?.fields['subject'], '00000000000000a1.0.0');
});

void t.test(
  'a history has the lines of a job and the changes of the holder',
  async t => {
    const lines = parseLines(ADVISED, OTHER_JOB, NEW_HOLDER, ACCEPTED);
    const history = explainJob('00000000000000a1', lines);
    t.same(
      history?.lines.map(({event}) => event),
      ['submit-accepted', 'holding-began', 'advised'],
    );
    t.equal(
      history?.verdict,
      'advice received; not placed since (answered via host-c, 1 of 1)',
    );
  },
);

void t.test(
  'the end of a job determines its state, whatever lines follow',
  async t => {
    const lines = parseLines(LATE_RUN_END, COMPLETED, ACCEPTED);
    const history = explainJob('00000000000000a1', lines);
    t.equal(history?.verdict, 'completed (objective-in-5)');
  },
);

void t.test('an answer to a caller does not hide the state', async t => {
  const history = explainJob('00000000000000a1', parseLines(UNSURE, ACCEPTED));
  t.equal(history?.verdict, 'accepted; no holder has read it yet (tries-1)');
});

void t.test(
  'limits of the account that a step waits for are named',
  async t => {
    const verdictWith = (atLimits: string) => {
      const line = formatEvent('step-waits', {
        subject: '00000000000000a1.0.0',
        detail: '5 tasks',
        account: 'team a',
        atLimits,
      });
      const text = `2026-02-05T22:23:14.000Z samphireramp:host ${line}`;
      return explainJob('00000000000000a1', parseLines(ACCEPTED, text))
        ?.verdict;
    };
    t.equal(
      verdictWith('cpu:2140'),
      'waiting: account at its cpu limit since 2.1 s (team a: 5 tasks)',
    );
    t.equal(
      verdictWith('cpu:2140,memory:50'),
      'waiting: account at its cpu limit since 2.1 s and its memory limit since 0.1 s (team a: 5 tasks)',
    );
    t.match(verdictWith('account:0'), /account at its limit since 0.0 s/);
  },
);

void t.test(
  'a job that is not placed waits for what its account waits for',
  async t => {
    const verdictOf = (ownEvent: string, account: string) => {
      const write = (second: number, event: string, fields: LogFields) =>
        `2026-02-05T22:23:${second}.000Z samphireramp:host ${formatEvent(event, fields)}`;
      const lines = parseLines(
        write(14, ownEvent, {subject: '00000000000000a1', account: 'team a'}),
        write(15, 'step-waits', {
          subject: '00000000000000a2.0.0',
          detail: '5 tasks',
          account,
          atLimits: 'cpu:2140',
        }),
      );
      return explainJob('00000000000000a1', lines);
    };
    const waiting = verdictOf('job-taken', 'team a');
    t.equal(
      waiting?.verdict,
      'waiting: account at its cpu limit since 2.1 s (team a: as logged for 00000000000000a2.0.0)',
    );
    t.match(verdictOf('step-waits', 'team a')?.verdict, /^waiting for workers/);
    t.equal(waiting?.lines.length, 1);
    t.match(verdictOf('job-taken', 'b')?.verdict, /none of its tasks/);
    t.match(verdictOf('job-completed', 'team a')?.verdict, /^completed/);
    t.match(verdictOf('step-placed', 'team a')?.verdict, /^placed/);
  },
);

void t.test('a job that no line mentions has no history', async t => {
  t.equal(explainJob('00000000000000ff', parseLines(ACCEPTED)), undefined);
});

/** The lines that a host writes for some events of one moment. */
function writeEvents(events: readonly LogEvent[]): string[] {
  let output = '';
  const writer = createLineWriter({
    write: text => (output += text),
    backlogBytes: () => 0,
    linesPerSecond: 10,
    isRoutine: () => true,
    now: () => 0,
  });
  for (const event of events) {
    writer.write('2026-02-05T22:23:13.000Z samphireramp:host ', event);
  }
  writer.close();
  return output.split('\n');
}

void t.test(
  'jobs are found in a line that gathers the events of several jobs',
  async t => {
    const jobIds = Array.from({length: 300}, (_, index) => `job${index}`);
    const lines = writeEvents([
      ...jobIds.map(
        (subject, index) =>
          new LogEvent('job-taken', {subject, millis: index, term: 3}),
      ),
      ...jobIds.map(
        id =>
          new LogEvent('step-placed', {
            subject: `${id}.0.0`,
            worker: `w-${id},w-2`,
            detail: '2 of 2 tasks',
          }),
      ),
    ]).flatMap(text => parseLogLines(text, 'host-a'));
    for (const [index, id] of jobIds.entries()) {
      const history = explainJob(id, lines);
      t.same(
        history?.lines.map(({event, fields}) => ({event, ...fields})),
        [
          {event: 'job-taken', subject: id, millis: String(index), term: '3'},
          {
            event: 'step-placed',
            subject: `${id}.0.0`,
            worker: `w-${id},w-2`,
            detail: '2 of 2 tasks',
          },
        ],
      );
    }
  },
);

void t.test('a journal that was late is part of the history', async t => {
  const late =
    '2026-02-05T22:23:13.500Z samphireramp:host event=journal-late term=6531 holder=host-b detail="14 entries, 299 commands wait" silentMillis=500';
  const history = explainJob(
    '00000000000000a1',
    parseLines(ACCEPTED, late, OTHER_JOB, COMPLETED),
  );
  t.same(
    history?.lines.map(({event}) => event),
    ['submit-accepted', 'journal-late', 'job-completed'],
  );
});
