import {createCommand} from '@samphireramp/kernel';
import t from 'tap';
import {workerSpeed} from '../..';
import {WORKER_SPEEDS, type WorkerRow} from '../../runTimeState';
import {buildLearner, buildTaskJob} from './learningFixture';

const CHANGE_ROW = createCommand<WorkerRow>('change-row');
const WORKER = 'worker-a';

/** Samples, and how often code has gone over all of them. */
class CountedSamples extends Array<number> {
  visits = 0;

  override [Symbol.iterator](): ArrayIterator<number> {
    this.visits++;
    return super[Symbol.iterator]();
  }
}

// Guards against a median of each worker's newest runs that each pass computes anew.
void t.test(
  'the speed of a worker is read without going over its runs',
  async t => {
    const {kernel, learn} = buildLearner();
    for (let run = 0; run < 12; run++) {
      learn(buildTaskJob(1000), 1000);
    }
    kernel.registerCommand(CHANGE_ROW, (update, row) =>
      update.write(WORKER_SPEEDS).set(WORKER, row),
    );
    const row = kernel.read(WORKER_SPEEDS).get(WORKER);
    t.ok(row);
    const newest = CountedSamples.from(row?.newest ?? []) as CountedSamples;
    kernel.dispatch(CHANGE_ROW, {...row, newest} as WorkerRow);
    newest.visits = 0;
    t.ok(workerSpeed(kernel, WORKER, row?.learntAt ?? 0) > 0);
    t.equal(newest.visits, 0);
  },
);

void t.test('a change of speed counts from the third run on', async t => {
  const {learn, speed} = buildLearner();
  for (let run = 0; run < 12; run++) {
    learn(buildTaskJob(1000), 1000, {worker: 'worker-b'});
    learn(buildTaskJob(1000), 1000, {worker: 'worker-c'});
  }
  for (let run = 0; run < 3; run++) {
    learn(buildTaskJob(1000), 6000, {worker: WORKER});
  }
  t.ok(speed(WORKER) < 0.3);
});
