import t from 'tap';
import {
  createCommand,
  createEffect,
  createKernel,
  createTableSlice,
} from '../..';

const ROWS = createTableSlice<number>('rows');
const SET = createCommand<{id: string; value: number; fails?: boolean}>('set');
const ROW_SET = createEffect<string>('told');

function buildKernel() {
  const errors: unknown[] = [];
  const effectsRun: string[] = [];
  const kernel = createKernel({
    now: () => 0,
    onError: error => errors.push(error),
  });
  kernel.registerSlice(ROWS);
  kernel.registerEffect(ROW_SET, text => effectsRun.push(text));
  const unregister = kernel.registerCommand(SET, (update, payload) => {
    update.write(ROWS).set(payload.id, payload.value);
    update.emit(ROW_SET, payload.id);
    if (payload.fails === true) {
      throw new Error('refused');
    }
  });
  return {kernel, errors, effectsRun, unregister};
}

void t.test('a command changes state, then its effects run', async t => {
  const {kernel, effectsRun} = buildKernel();
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.equal(kernel.read(ROWS).get('a'), 1);
  t.strictSame(effectsRun, ['a']);
});

void t.test('a failed update is rolled back and reported', async t => {
  const {kernel, effectsRun, errors} = buildKernel();
  kernel.dispatch(SET, {id: 'a', value: 1});
  kernel.dispatch(SET, {id: 'a', value: 2, fails: true});
  kernel.dispatch(SET, {id: 'b', value: 3, fails: true});
  t.equal(kernel.read(ROWS).get('a'), 1);
  t.equal(kernel.read(ROWS).has('b'), false);
  t.strictSame(effectsRun, ['a']);
  t.equal(errors.length, 2);
});

void t.test('state can be written only inside an update', async t => {
  const {kernel} = buildKernel();
  const rows = kernel.read(ROWS) as unknown as Map<string, number>;
  t.throws(() => rows.set('a', 1), /outside an update/);
});

void t.test('a command without a handler is reported as an error', async t => {
  const {kernel, errors, unregister} = buildKernel();
  unregister();
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.equal(errors.length, 1);
  t.equal(kernel.read(ROWS).size, 0);
});

void t.test('a command from an effect runs after the update', async t => {
  const {kernel} = buildKernel();
  const sizesAfterDispatch: number[] = [];
  kernel.registerEffect(ROW_SET, id => {
    if (id === 'a') {
      kernel.dispatch(SET, {id: 'b', value: 2});
      sizesAfterDispatch.push(kernel.read(ROWS).size);
    }
  });
  kernel.dispatch(SET, {id: 'a', value: 1});
  t.strictSame(sizesAfterDispatch, [1]);
  t.equal(kernel.read(ROWS).get('b'), 2);
});

void t.test('the rejection of an asynchronous effect is reported', async t => {
  const {kernel, errors} = buildKernel();
  const failure = new Error('no answer');
  kernel.registerEffect(ROW_SET, async () => {
    throw failure;
  });
  kernel.dispatch(SET, {id: 'a', value: 1});
  await new Promise(setImmediate);
  t.strictSame(errors, [failure]);
});
