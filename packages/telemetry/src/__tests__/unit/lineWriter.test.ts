import t from 'tap';
import {
  type LogFields,
  LogEvent,
  createLineWriter,
  splitGatheredFields,
} from '../../index';

const FLUSH_INTERVAL_MILLIS = 50;
const MAX_WAITING_CHARACTERS = 65_536;

function buildWriter(
  linesPerSecond: number,
  routineEvents: readonly string[] = [],
) {
  const written: string[] = [];
  const state = {now: 0, backlog: 0};
  const writer = createLineWriter({
    write: text => written.push(text),
    backlogBytes: () => state.backlog,
    linesPerSecond,
    isRoutine: event => routineEvents.includes(event),
    now: () => state.now,
  });
  const write = (event: string, fields?: LogFields) =>
    writer.write('', new LogEvent(event, fields));
  const lines = () => written.join('').split('\n').filter(Boolean);
  return {writer, write, written, lines, state};
}

void t.test('lines are buffered until a flush writes them at once', async t => {
  const {writer, write, written} = buildWriter(10);
  write('a');
  write('b');
  writer.flush();
  writer.flush();
  t.same(written, ['event=a\nevent=b\n']);
});

void t.test(
  'a burst of routine events leaves out no refusal, loss or change of the holder',
  async t => {
    const routineEvents = ['job-taken', 'advised', 'step-placed'];
    const decisiveEvents = ['submit-refused', 'stream-lost', 'holding-ended'];
    const {writer, write, lines, state} = buildWriter(200, routineEvents);
    const decisiveDetails: string[] = [];
    for (let index = 0; index < 1000; index++) {
      state.now = Math.floor(index / 10);
      const jobId = `job-${index}`;
      if (index % 10 === 9) {
        const event = decisiveEvents[index % decisiveEvents.length];
        decisiveDetails.push(`${event} cause-${index}`);
        write(event, {job: jobId, detail: `cause-${index}`});
      } else {
        const event = routineEvents[index % routineEvents.length];
        write(event, {subject: jobId, millis: index});
      }
      if (index % 500 === 499) {
        writer.flush();
      }
    }
    t.ok(lines().length <= 200, `${lines().length} lines`);
    t.equal(writer.droppedLines().size, 0);
    const ids = lines().flatMap(line => line.match(/job-\d+/g) ?? []);
    t.same(
      ids.sort(),
      Array.from({length: 1000}, (_, index) => `job-${index}`).sort(),
    );
    for (const detail of decisiveDetails) {
      const [event, cause] = detail.split(' ');
      t.ok(
        lines().some(
          line =>
            line.includes(event) && line.match(/cause-\d+/g)?.includes(cause),
        ),
        detail,
      );
    }
  },
);

void t.test('a few decisive lines in a burst are not gathered', async t => {
  const {writer, write, lines} = buildWriter(200, ['job-taken']);
  for (let index = 0; index < 1000; index++) {
    write('job-taken', {subject: `job-${index}`});
  }
  write('holding-ended', {term: 1});
  write('stream-lost', {stream: 'progress'});
  write('holding-ended', {term: 2});
  writer.flush();
  const ownLines = lines().filter(line => !line.includes('event=gathered'));
  t.same(ownLines, [
    'event=holding-ended term=1',
    'event=stream-lost stream=progress',
    'event=holding-ended term=2',
  ]);
});

void t.test('a single routine event is written as its own line', async t => {
  const {writer, write, lines} = buildWriter(200, ['job-taken']);
  write('job-taken', {subject: 'a1', millis: 35});
  writer.flush();
  t.same(lines(), ['event=job-taken subject=a1 millis=35']);
});

void t.test('gathered events keep the fields and times of each', async t => {
  const {writer, write, lines, state} = buildWriter(200, ['step-placed']);
  const first = {
    subject: 'a1.0.0',
    worker: 'w-1,w-2',
    detail: '2; all',
    term: 7,
  };
  const second = {subject: 'a2.0.0', worker: undefined, detail: '1', term: 7};
  write('step-placed', first);
  state.now = 12;
  write('step-placed', second);
  writer.flush();
  t.same(lines(), [
    'event=gathered of=step-placed events=2 after="0;12" subject="a1.0.0;a2.0.0"' +
      ' worker="w-1,w-2;" detail="2, all;1" term=7',
  ]);
  t.same(
    splitGatheredFields({
      of: 'step-placed',
      events: '2',
      after: '0;12',
      subject: 'a1.0.0;a2.0.0',
      worker: 'w-1,w-2;',
      detail: '2, all;1',
      term: '7',
    }),
    [
      {
        afterMillis: 0,
        fields: {
          subject: 'a1.0.0',
          worker: 'w-1,w-2',
          detail: '2, all',
          term: '7',
        },
      },
      {afterMillis: 12, fields: {subject: 'a2.0.0', detail: '1', term: '7'}},
    ],
  );
});

void t.test('many events are gathered into several short lines', async t => {
  const {writer, write, lines} = buildWriter(200, ['advised']);
  const jobIds = Array.from({length: 500}, (_, index) => `job-${index}`);
  jobIds.forEach((subject, millis) => write('advised', {subject, millis}));
  writer.flush();
  t.ok(lines().length > 1);
  t.ok(lines().every(line => line.length < 5000));
  t.same(
    lines().flatMap(line => line.match(/job-\d+/g) ?? []),
    jobIds,
  );
});

void t.test('lines are written in the order of their events', async t => {
  const {writer, write, lines, state} = buildWriter(200, ['job-taken']);
  write('job-taken', {subject: 'a1'});
  state.now = 5;
  write('holding-ended');
  state.now = 9;
  write('job-taken', {subject: 'a2'});
  writer.flush();
  t.match(lines(), [/of=job-taken/, 'event=holding-ended']);
});

void t.test(
  'the volume stays bounded, and what is left out is counted by event',
  async t => {
    const linesPerSecond = 20;
    const seconds = 10;
    const {writer, write, lines, state} = buildWriter(linesPerSecond, [
      'advised',
    ]);
    const detail = 'x'.repeat(1000);
    const events = 100_000;
    for (let index = 0; index < events; index++) {
      state.now = (index * seconds * 1000) / events;
      write('advised', {subject: `job-${index}`, detail});
      write('submit-refused', {job: `job-${index}`, detail});
      if (index % ((events / seconds / 1000) * FLUSH_INTERVAL_MILLIS) === 0) {
        writer.flush();
      }
    }
    // The burst of the first second, and one line beyond the rate for each event.
    const maxLines = linesPerSecond * (seconds + 1) + 2;
    t.ok(lines().length <= maxLines, `${lines().length} lines`);
    const characters = lines().join('').length;
    const maxCharacters = maxLines * 1024 + 2 * MAX_WAITING_CHARACTERS;
    t.ok(characters <= maxCharacters, `${characters} characters`);
    const left = writer.droppedLines();
    t.ok((left.get('advised') ?? 0) > 0);
    writer.close();
    const reported = lines()
      .flatMap(line => /left-out count=(\d+)/.exec(line)?.[1] ?? [])
      .reduce((sum, count) => sum + Number(count), 0);
    t.equal(
      reported,
      [...left.values()].reduce((sum, count) => sum + count, 0),
    );
    const ids = lines().flatMap(line => line.match(/job-\d+/g) ?? []);
    t.equal(ids.length + reported, 2 * events);
  },
);

void t.test('a flood of one event leaves out no other event', async t => {
  const {writer, write, lines, state} = buildWriter(20, ['advised']);
  for (let index = 0; index < 100_000; index++) {
    write('submit-refused', {job: `job-${index}`});
  }
  write('holding-ended', {term: 1});
  write('stream-lost', {stream: 'progress'});
  for (let flush = 0; flush < 200; flush++) {
    state.now += FLUSH_INTERVAL_MILLIS;
    writer.flush();
  }
  t.ok(lines().includes('event=holding-ended term=1'));
  t.ok(lines().includes('event=stream-lost stream=progress'));
  t.match(
    lines().find(line => line.includes('left-out')),
    /^event=log-lines-left-out count=\d+ of=submit-refused:\d+$/,
  );
});

void t.test(
  'a lasting flood of one event delays no other for long',
  async t => {
    const {writer, write, lines, state} = buildWriter(20);
    for (let step = 0; step < 200; step++) {
      state.now += FLUSH_INTERVAL_MILLIS;
      for (let index = 0; index < 1000; index++) {
        write('submit-refused', {job: `job-${step}-${index}`});
      }
      if (step === 100) {
        write('holding-ended', {term: 7});
      }
      writer.flush();
      if (step === 140) {
        t.ok(lines().includes('event=holding-ended term=7'));
      }
    }
  },
);

void t.test('a stalled reader does not block the writer', async t => {
  const {writer, write, written, state} = buildWriter(10);
  state.backlog = 1_000_000;
  for (let index = 0; index < 100_000; index++) {
    write('a', {detail: `number-${index}`});
  }
  writer.flush();
  t.same(written, []);
  t.ok((writer.droppedLines().get('a') ?? 0) > 90_000);
  state.backlog = 0;
  state.now = 1000;
  writer.flush();
  t.match(written[0], /number-0/);
});

void t.test('closing writes what the rate has held back', async t => {
  const {writer, write, lines} = buildWriter(1, ['job-taken']);
  write('holding-ended', {term: 1});
  write('holding-ended', {term: 2});
  write('job-taken', {subject: 'a1'});
  writer.close();
  const text = lines().join('\n');
  t.match(text, /of=holding-ended|term=1[\s\S]*term=2/);
  t.match(text, /subject=a1/);
});
