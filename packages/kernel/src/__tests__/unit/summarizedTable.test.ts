import t from 'tap';
import {
  type Update,
  createCommand,
  createKernel,
  createSummarizedTableSlice,
} from '../..';

interface Item {
  readonly box: string;
  readonly weight: number;
}

const CHANGE = createCommand<(update: Update) => void>('change');

/** A kernel with a table of items that keeps the weight of each box. */
function buildBoxes() {
  const summaries = {count: 0};
  const slice = createSummarizedTableSlice(
    'items',
    ({box}: Item) => box,
    items => {
      summaries.count++;
      return items.reduce((sum, {weight}) => sum + weight, 0);
    },
  );
  const kernel = createKernel({now: () => 0, onError: () => undefined});
  kernel.registerSlice(slice);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const change = (perform: (update: Update) => void) =>
    kernel.dispatch(CHANGE, perform);
  const put = (id: string, box: string, weight: number) =>
    change(update => update.write(slice).set(id, {box, weight}));
  return {kernel, slice, change, put, summaries};
}

void t.test('a summary is kept until a row of its key changes', async t => {
  const {kernel, slice, put, summaries} = buildBoxes();
  put('a', 'red', 1);
  put('b', 'blue', 2);
  const table = kernel.read(slice);
  t.equal(table.summaryOf('red'), 1);
  t.equal(table.summaryOf('blue'), 2);
  summaries.count = 0;
  t.equal(table.summaryOf('red'), 1);
  t.equal(summaries.count, 0);
  put('c', 'red', 4);
  t.equal(table.summaryOf('red'), 5);
  t.equal(table.summaryOf('blue'), 2);
  t.equal(summaries.count, 1);
});

void t.test('a row that moves changes the summaries of both keys', async t => {
  const {kernel, slice, change, put} = buildBoxes();
  put('a', 'red', 1);
  put('b', 'red', 2);
  const table = kernel.read(slice);
  t.same([...table.summaries()], [3]);
  put('b', 'blue', 2);
  t.same([table.summaryOf('red'), table.summaryOf('blue')], [1, 2]);
  change(update => update.write(slice).delete('a'));
  t.equal(table.summaryOf('red'), 0);
  t.same([...table.summaries()], [2]);
});

void t.test(
  'an update that is undone leaves the summaries as before',
  async t => {
    const {kernel, slice, change, put} = buildBoxes();
    put('a', 'red', 1);
    const isCommitted = change(update => {
      update.write(slice).set('a', {box: 'red', weight: 9});
      update.write(slice).set('b', {box: 'blue', weight: 9});
      t.equal(update.read(slice).summaryOf('red'), 9);
      t.equal(update.read(slice).summaryOf('blue'), 9);
      throw new Error('undone');
    });
    t.equal(isCommitted, false);
    t.equal(kernel.read(slice).summaryOf('red'), 1);
    t.equal(kernel.read(slice).summaryOf('blue'), 0);
  },
);
