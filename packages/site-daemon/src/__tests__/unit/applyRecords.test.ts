import {
  createCommand,
  createKernel,
  createTableSlice,
} from '@samphireramp/kernel';
import t from 'tap';
import {applyRecords} from '../../applyRecords';

const ROWS = createTableSlice<boolean>('rows');
const ADD_ROWS = createCommand<readonly string[]>('add-rows');

/** Applies records to a kernel, one handler of which refuses some of them. */
function applyAll(records: readonly string[], refused: readonly string[]) {
  const errors: unknown[] = [];
  const kernel = createKernel({
    now: () => 0,
    onError: error => errors.push(error),
  });
  kernel.registerSlice(ROWS);
  kernel.registerCommand(ADD_ROWS, (update, ids) => {
    for (const id of ids) {
      update.write(ROWS).set(id, true);
      if (refused.includes(id)) {
        throw new Error(id);
      }
    }
  });
  let updates = 0;
  applyRecords(records, part => {
    updates++;
    return kernel.dispatch(ADD_ROWS, part);
  });
  return {rows: [...kernel.read(ROWS).keys()], errors, updates};
}

void t.test('records are applied in one update', async t => {
  const {rows, updates} = applyAll(['a', 'b', 'c'], []);
  t.same(rows, ['a', 'b', 'c']);
  t.equal(updates, 1);
});

void t.test('a record that fails costs no other', async t => {
  const {rows, errors} = applyAll(['a', 'b', 'c'], ['b']);
  t.same(rows, ['a', 'c']);
  t.equal(errors.length, 2, 'the whole, and the one alone');
  t.same(applyAll(['b'], ['b']).rows, []);
  t.same(applyAll([], ['b']).rows, []);
});
