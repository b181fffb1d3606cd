import t from 'tap';
import {
  createCommand,
  createEffect,
  createKernel,
  createTableSlice,
} from '../..';

const ROWS = createTableSlice<number>('rows');
const SET = createCommand<{id: string; value: number; fails?: boolean}>('set');
const TOLD = createEffect<string>('told');

function buildKernel() {
  const errors: unknown[] = [];
  const told: string[] = [];
  const kernel = createKernel({
    now: () => 0,
    onError: error => errors.push(error),
  });
  kernel.registerSlice(ROWS);
  kernel.registerEffect(TOLD, text => told.push(text));
  const unregister = kernel.registerCommand(SET, (update, payload) => {
    update.write(ROWS).set(payload.id, payload.value);
    update.emit(TOLD, payload.id);
    if (payload.fails === true) {
      throw new Error('refused');
    }
  });
  return {kernel, errors, told, unregister};
}

void t.test('a command changes state and its effects follow', async t => {
  const {kernel, told} = buildKernel();
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.equal(kernel.read(ROWS).get('a'), 1);
  t.strictSame(told, ['a']);
});

void t.test('a failed update leaves no trace but the error', async t => {
  const {kernel, told, errors} = buildKernel();
  kernel.dispatch(SET, {id: 'a', value: 1});
  kernel.dispatch(SET, {id: 'a', value: 2, fails: true});
  kernel.dispatch(SET, {id: 'b', value: 3, fails: true});
  t.equal(kernel.read(ROWS).get('a'), 1);
  t.equal(kernel.read(ROWS).has('b'), false);
  t.strictSame(told, ['a']);
  t.equal(errors.length, 2);
});

void t.test('state can be written inside an update only', async t => {
  const {kernel} = buildKernel();
  const rows = kernel.read(ROWS) as unknown as Map<string, number>;
  t.throws(() => rows.set('a', 1), /outside an update/);
});

void t.test('a command without a handler is an error', async t => {
  const {kernel, errors, unregister} = buildKernel();
  unregister();
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.equal(errors.length, 1);
  t.equal(kernel.read(ROWS).size, 0);
});

void t.test('a command from an effect runs after the update', async t => {
  const {kernel} = buildKernel();
  const seen: number[] = [];
  kernel.registerEffect(TOLD, id => {
    if (id === 'a') {
      kernel.dispatch(SET, {id: 'b', value: 2});
      seen.push(kernel.read(ROWS).size);
    }
  });
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.strictSame(seen, [1]);
  t.equal(kernel.read(ROWS).get('b'), 2);
});
