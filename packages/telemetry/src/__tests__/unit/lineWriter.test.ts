import t from 'tap';
import {createLineWriter} from '../../index';

function buildWriter(linesPerSecond: number) {
  const written: string[] = [];
  const state = {now: 0, backlog: 0};
  const writer = createLineWriter({
    write: text => written.push(text),
    backlogBytes: () => state.backlog,
    linesPerSecond,
    now: () => state.now,
  });
  return {writer, written, state};
}

void t.test('lines are buffered until a flush writes them at once', async t => {
  const {writer, written} = buildWriter(10);
  writer.line('a');
  writer.line('b');
  writer.flush();
  writer.flush();
  t.same(written, ['a\nb\n']);
});

void t.test('lines above the rate are dropped and counted', async t => {
  const {writer, written, state} = buildWriter(3);
  for (let line = 0; line < 10; line++) {
    writer.line(`line ${line}`);
  }
  writer.flush();
  state.now = 1000;
  writer.line('later');
  writer.flush();
  t.equal(writer.droppedLines(), 7);
  t.match(written[1], /later\nevent=log-lines-left-out count=7/);
});

void t.test('a stalled reader does not block the writer', async t => {
  const {writer, written, state} = buildWriter(10);
  state.backlog = 1_000_000;
  writer.line('a');
  writer.flush();
  t.same(written, []);
  t.equal(writer.droppedLines(), 1);
});
