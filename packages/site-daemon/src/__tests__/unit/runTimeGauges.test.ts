import {type Worker, WORKERS} from '@samphireramp/fleet';
import {HOLDING} from '@samphireramp/holding';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {createRunTimesPlugin} from '@samphireramp/run-times';
import t from 'tap';
import {createRunTimeGauges} from '../../runTimeGauges';

const CHANGE = createCommand<(update: Update) => void>('change');

// Guards against gauges of a host that has lost the site, and workers in no class.
void t.test('only the holder shows workers, each in one class', async t => {
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(HOLDING);
  kernel.registerSlice(WORKERS);
  kernel.register(createRunTimesPlugin());
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const readGauges = createRunTimeGauges(() => 0);
  kernel.dispatch(CHANGE, update =>
    ['a', 'b'].forEach((incarnation, index) => {
      const worker = {id: incarnation, incarnation, avoidedUntil: index};
      update.write(WORKERS).set(incarnation, worker as Worker);
    }),
  );
  t.same(readGauges(kernel), []);
  kernel.dispatch(CHANGE, update => {
    const holding = update.write(HOLDING);
    const latestHolderRecord = {term: 1} as never;
    holding.set({...holding.get(), phase: 'holding', latestHolderRecord});
  });
  const samples = readGauges(kernel);
  const total = samples
    .filter(({name}) => name === 'workers_by_speed')
    .reduce((sum, {value}) => sum + value, 0);
  t.equal(total, 2);
  t.match(samples.at(-1), {name: 'workers_avoided', value: 1});
});
