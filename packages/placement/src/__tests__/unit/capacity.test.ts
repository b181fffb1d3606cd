import fc from 'fast-check';
import {
  createCommand,
  createKernel,
  type Kernel,
  type Update,
} from '@samphireramp/kernel';
import type {ResourceVector} from '@samphireramp/model';
import t from 'tap';
import {
  CAPACITY,
  NO_WORKER,
  type WorkerChooser,
  chooseBestFit,
  chooseFirstFit,
  createSampledChooser,
} from '../..';

const SEED = 41;
const RUN = createCommand<(update: Update) => void>('run');

function createBench(workers: number): {kernel: Kernel; errors: unknown[]} {
  const errors: unknown[] = [];
  const kernel = createKernel({now: () => 0, onError: e => errors.push(e)});
  kernel.registerSlice(CAPACITY);
  kernel.registerCommand(RUN, (update, run) => run(update));
  kernel.dispatch(RUN, update => {
    const capacity = update.write(CAPACITY);
    for (let index = 0; index < workers; index++) {
      const place = {rack: `r${index % 3}`, shardId: 's'};
      capacity.setWorker(`w${index}`, place, [16_000, 32_768, 2, 8, 60]);
      capacity.setUsable(`w${index}`, true);
    }
  });
  return {kernel, errors};
}

const needs = fc.tuple(
  fc.integer({min: 0, max: 16_000}),
  fc.integer({min: 0, max: 32_768}),
  fc.integer({min: 0, max: 2}),
  fc.integer({min: 1, max: 3}),
  fc.integer({min: 0, max: 10}),
);

const CHOOSERS: ReadonlyArray<readonly [string, WorkerChooser]> = [
  ['first fit', chooseFirstFit],
  ['best fit', chooseBestFit],
  ['sampled', createSampledChooser(() => 0.5, 4)],
];

for (const [name, choose] of CHOOSERS) {
  void t.test(`${name} never takes more than a worker has`, async t => {
    t.comment(`seed ${SEED}`);
    const property = fc.property(fc.array(needs, {maxLength: 80}), list => {
      const {kernel, errors} = createBench(5);
      for (const need of list) {
        kernel.dispatch(RUN, update => take(update, choose, need));
      }
      const capacity = kernel.read(CAPACITY);
      const isOver = capacity.free.some(column =>
        column.some(free => free < 0),
      );
      return !isOver && errors.length === 0;
    });
    fc.assert(property, {seed: SEED});
    t.pass();
  });
}

void t.test('a failed update leaves every column as it was', async t => {
  t.comment(`seed ${SEED}`);
  const property = fc.property(fc.array(needs, {maxLength: 40}), list => {
    const {kernel} = createBench(4);
    const before = JSON.stringify(kernel.read(CAPACITY).free.map(c => [...c]));
    kernel.dispatch(RUN, update => {
      list.forEach(need => take(update, chooseBestFit, need));
      update.write(CAPACITY).removeWorker('w1');
      update.write(CAPACITY).setUsable('w2', false);
      throw new Error('undo');
    });
    const capacity = kernel.read(CAPACITY);
    const after = JSON.stringify(capacity.free.map(column => [...column]));
    return before === after && capacity.slotsOf('s').total === 32;
  });
  fc.assert(property, {seed: SEED});
  t.pass();
});

void t.test('taking more than there is is refused', async t => {
  const {kernel, errors} = createBench(1);
  kernel.dispatch(RUN, update =>
    update.write(CAPACITY).reserve('w0', [16_001, 0, 0, 0, 0]),
  );
  t.equal(errors.length, 1);
});

function take(
  update: Update,
  choose: WorkerChooser,
  need: ResourceVector,
): void {
  const capacity = update.write(CAPACITY);
  const row = choose(capacity, need);
  if (row !== NO_WORKER) {
    capacity.reserve(capacity.workerAt(row), need);
  }
}
