import {HOLDING} from '@samphireramp/holding';
import {createCommand, createKernel} from '@samphireramp/kernel';
import t from 'tap';
import {
  LATEST_LIVES,
  beginLife,
  fenceOf,
  isFencedByOwnCall,
  latestLife,
} from '../../fence';

const TERM = 7;
const BEGIN_LIFE = createCommand<string>('begin-life');

/** A kernel of a holder that has begun to call lives of a worker. */
function buildHolder(lives: number) {
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(HOLDING);
  kernel.registerSlice(LATEST_LIVES);
  kernel.registerCommand(BEGIN_LIFE, (update, workerId) => {
    const holding = update.write(HOLDING);
    const latestHolderRecord = {
      holder: 'host-a',
      incarnation: 'incarnation-1',
      term: TERM,
      batch: 0,
      isResigned: false,
    };
    holding.set({...holding.get(), phase: 'holding', latestHolderRecord});
    beginLife(update, workerId);
  });
  for (let life = 1; life <= lives; life++) {
    kernel.dispatch(BEGIN_LIFE, 'worker-0');
  }
  return kernel;
}

void t.test(
  'the fence rises with the life, and more with the term',
  async t => {
    t.ok(fenceOf(TERM, 2) > fenceOf(TERM, 1));
    t.ok(fenceOf(TERM + 1, 0) > fenceOf(TERM, 5_000_000));
    t.ok(Number.isSafeInteger(fenceOf(1_000_000_000, 1)));
  },
);

void t.test(
  'only a call to an earlier life is fenced by an own one',
  async t => {
    const kernel = buildHolder(2);
    t.equal(latestLife(kernel, 'worker-0'), 2);
    t.ok(isFencedByOwnCall(kernel, 'worker-0', fenceOf(TERM, 1)));
    t.notOk(isFencedByOwnCall(kernel, 'worker-0', fenceOf(TERM, 2)));
    t.notOk(isFencedByOwnCall(kernel, 'worker-1', fenceOf(TERM, 0)));
  },
);
