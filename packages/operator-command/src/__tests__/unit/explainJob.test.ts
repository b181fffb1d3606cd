import t from 'tap';
import {type LogLine, explainJob, parseLogLine} from '../../index';

const ACCEPTED =
  '2026-02-05T22:23:12.711Z samphireramp:host event=submit-accepted job=00000000000000a1 queue=q detail=tries-1 millis=11';
const ADVISED =
  '  27.3 host-b 2026-02-05T22:23:13.304Z samphireramp:host event=advised subject=00000000000000a1.0.0 detail="answered via host-c, 1 of 1" millis=123 term=6531';
const TAKE_OVER =
  '2026-02-05T22:23:12.969Z samphireramp:host event=holding-began term=6531 holder=host-b';
const OTHER =
  '2026-02-05T22:23:13.100Z samphireramp:host event=job-completed subject=00000000000000a2 queue=q';
const COMPLETED =
  '2026-02-05T22:23:15.000Z samphireramp:host event=job-completed subject=00000000000000a1 queue=q detail=objective-in-5';
const LATE_END =
  '2026-02-05T22:23:15.200Z samphireramp:host event=run-ended subject=00000000000000a1.0.0.1#1 worker=w-1@5 detail=stopped-unneeded';

function parse(...texts: string[]): LogLine[] {
  return texts.map(text => {
    const line = parseLogLine(text, 'file');
    if (line === undefined) {
      throw new Error(`not read: ${text}`);
    }
    return line;
  });
}

void t.test('a line is read with what stands before it', async t => {
  const [advised, accepted] = parse(ADVISED, ACCEPTED);
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
});

void t.test('what is no line of the daemon is passed over', async t => {
  for (const text of ['', 'npm warn', 'event=started', '2026-02-05 event=x']) {
    t.equal(parseLogLine(text, 'file'), undefined);
  }
  const cut = parseLogLine(ADVISED.slice(0, 120), 'file');
  t.equal(cut?.fields['subject'], '00000000000000a1.0.0');
});

void t.test('a story has the lines of a job and of its holders', async t => {
  const lines = parse(ADVISED, OTHER, TAKE_OVER, ACCEPTED);
  const story = explainJob('00000000000000a1', lines);
  t.same(
    story?.lines.map(({event}) => event),
    ['submit-accepted', 'holding-began', 'advised'],
  );
  t.equal(
    story?.verdict,
    'told who may run it; not placed since (answered via host-c, 1 of 1)',
  );
});

void t.test('the end of a job decides, whatever comes after it', async t => {
  const lines = parse(LATE_END, COMPLETED, ACCEPTED);
  const story = explainJob('00000000000000a1', lines);
  t.equal(story?.verdict, 'completed (objective-in-5)');
});

void t.test('a job that no line names has no story', async t => {
  t.equal(explainJob('00000000000000ff', parse(ACCEPTED)), undefined);
});
