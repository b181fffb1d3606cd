import {
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  createHoldingPlugin,
  dispatchWhenDurable,
  heldTerm,
} from '@samphireramp/holding';
import {
  type Update,
  createCommand,
  createKernel,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import t from 'tap';
import {usedHeapBytes} from '../../index';

const BYTES_PER_MEGABYTE = 1024 * 1024;
const CHANGES = 1000;
const ITEMS = 10_000;

const NUMBERS = createValueSlice<readonly number[]>('numbers', []);
const ROWS = createTableSlice<readonly number[]>('rows');
const CHANGE = createCommand<(update: Update) => void>('change');

/** Builds a kernel whose only command runs the function that it is given. */
function buildKernel() {
  const errors: unknown[] = [];
  const clock = {now: 0};
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => errors.push(error),
  });
  kernel.registerSlice(NUMBERS);
  kernel.registerSlice(ROWS);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  return {kernel, errors, clock};
}

/** Returns how many megabytes an update keeps after `change`, before its end. */
function keptMegabytes(
  {kernel}: ReturnType<typeof buildKernel>,
  change: (update: Update) => void,
): number {
  const before = usedHeapBytes();
  let kept = Infinity;
  kernel.dispatch(CHANGE, update => {
    change(update);
    kept = (usedHeapBytes() - before) / BYTES_PER_MEGABYTE;
  });
  return kept;
}

void t.test('an update keeps no copy of a value for each change', async t => {
  const site = buildKernel();
  const kept = keptMegabytes(site, update => {
    for (let count = 0; count < CHANGES; count++) {
      update.write(NUMBERS).set(new Array<number>(ITEMS).fill(count));
    }
  });
  t.ok(kept < 5, `${kept} MB`);
});

void t.test('an update keeps no copy of a row for each change', async t => {
  const site = buildKernel();
  const kept = keptMegabytes(site, update => {
    for (let count = 0; count < CHANGES; count++) {
      update.write(ROWS).set('a', new Array<number>(ITEMS).fill(count));
    }
  });
  t.ok(kept < 5, `${kept} MB`);
});

void t.test('a rolled back update restores what it changed twice', async t => {
  const {kernel, errors} = buildKernel();
  kernel.dispatch(CHANGE, update => {
    update.write(NUMBERS).set([1]);
    update.write(ROWS).set('a', [1]);
    update.write(ROWS).set('b', [1]);
  });
  kernel.dispatch(CHANGE, update => {
    update.write(NUMBERS).set([2]);
    update.write(NUMBERS).set([3]);
    update.write(ROWS).set('a', [2]);
    update.write(ROWS).delete('a');
    update.write(ROWS).delete('b');
    update.write(ROWS).set('b', [2]);
    update.write(ROWS).set('c', [2]);
    update.write(ROWS).set('c', [3]);
    throw new Error('refused');
  });
  t.equal(errors.length, 1);
  t.strictSame(kernel.read(NUMBERS).get(), [1]);
  t.strictSame(kernel.read(ROWS).get('a'), [1]);
  t.strictSame(kernel.read(ROWS).get('b'), [1]);
  t.equal(kernel.read(ROWS).has('c'), false);
});

void t.test(
  'deferred commands are not copied for each further one',
  async t => {
    const site = buildKernel();
    const {kernel, clock} = site;
    kernel.register(
      createHoldingPlugin({
        self: 'host-a',
        incarnation: 'host-a',
        roundTripMillis: () => 1,
        claimDelayMillis: () => 0,
      }),
    );
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: 0,
      logEndOffset: 0,
      sentAt: 0,
      isSnapshot: true,
    });
    clock.now = 1000;
    kernel.dispatch(HOLDING_TICK, undefined);
    const outcome = {kind: 'appended', offset: 0, endOffset: 1} as const;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 0, outcome});
    t.not(heldTerm(kernel), undefined);
    const kept = keptMegabytes(site, update => {
      for (let count = 0; count < ITEMS; count++) {
        dispatchWhenDurable(update, CHANGE, () => undefined);
      }
    });
    t.ok(kept < 10, `${kept} MB`);
  },
);
