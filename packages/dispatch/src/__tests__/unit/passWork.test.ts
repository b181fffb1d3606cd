import {
  RUNS,
  type Run,
  WORKERS,
  type Worker,
  changeRun,
} from '@samphireramp/fleet';
import {runKey} from '@samphireramp/jobs';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import t from 'tap';
import {CandidateList} from '../../candidateList';
import {countStartsUnderWay} from '../../TaskAllowance';

const CHANGE = createCommand<(update: Update) => void>('change');
const CAPACITY = {cpuMillis: 9000, memoryMegabytes: 9000, accelerators: 0};
const NEED = {cpuMillis: 100, memoryMegabytes: 100, accelerators: 0};
const WORKER_COUNT = 40;

/** A fleet that counts how often something reads what a run reserves. */
function buildCountedFleet(runsOnEach: number) {
  const reads = {count: 0};
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(WORKERS);
  kernel.registerSlice(RUNS);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const change = (perform: (update: Update) => void) =>
    kernel.dispatch(CHANGE, perform);
  const keyOf = (worker: number, index: number) =>
    runKey({jobId: `job-${worker}`, occurrence: 0, step: 0, index, run: 1});
  const buildRun = (worker: number, index: number): Run =>
    ({
      runId: {jobId: `job-${worker}`, occurrence: 0, step: 0, index, run: 1},
      incarnation: `worker-${worker}`,
      phase: 'ordered',
      startOrders: 1,
      get reserved() {
        reads.count++;
        return NEED;
      },
    }) as unknown as Run;
  change(update => {
    for (let worker = 0; worker < WORKER_COUNT; worker++) {
      const incarnation = `worker-${worker}`;
      update.write(WORKERS).set(incarnation, {
        id: incarnation,
        incarnation,
        capacity: CAPACITY,
        isRegistered: true,
        hasReported: true,
        avoidedUntil: 0,
        probationUntil: 0,
      } as Worker);
      for (let index = 0; index < runsOnEach; index++) {
        update.write(RUNS).set(keyOf(worker, index), buildRun(worker, index));
      }
    }
  });
  /** Does what each pass begins with; returns the reads and the free CPU. */
  const candidateList = new CandidateList();
  const list = () => candidateList.fill(kernel, 0, () => 1);
  const beginPass = () => {
    reads.count = 0;
    const free = list().map(({cpuMillis}) => cpuMillis);
    const starts = countStartsUnderWay(kernel).all;
    return {reads: reads.count, free, starts};
  };
  return {change, beginPass, list, keyOf, buildRun};
}

// Guards against passes that total the runs of all workers anew, which filled the loop of
// the holder on slower processors.
void t.test(
  'a pass reads no run on workers whose runs are the same as before',
  async t => {
    const {beginPass} = buildCountedFleet(5);
    t.ok(beginPass().reads > 0);
    const {reads, free, starts} = beginPass();
    t.equal(reads, 0);
    t.same(new Set(free), new Set([CAPACITY.cpuMillis - 5 * NEED.cpuMillis]));
    t.equal(starts, 5 * WORKER_COUNT);
  },
);

void t.test(
  'after a change a pass reads the runs of that worker only',
  async t => {
    const {change, beginPass, keyOf, buildRun} = buildCountedFleet(5);
    beginPass();
    change(update => update.write(RUNS).delete(keyOf(3, 0)));
    const afterEnd = beginPass();
    t.equal(afterEnd.reads, 4);
    t.equal(afterEnd.free[3], CAPACITY.cpuMillis - 4 * NEED.cpuMillis);
    t.equal(afterEnd.starts, 5 * WORKER_COUNT - 1);
    change(update => update.write(RUNS).set(keyOf(7, 5), buildRun(7, 5)));
    const afterStart = beginPass();
    t.equal(afterStart.reads, 6);
    t.equal(afterStart.free[7], CAPACITY.cpuMillis - 6 * NEED.cpuMillis);
    change(update => changeRun(update, keyOf(9, 0), {phase: 'running'}));
    t.equal(beginPass().starts, 5 * WORKER_COUNT - 1);
  },
);

void t.test(
  'the rows of a pass are used again, but for workers that are gone',
  async t => {
    const {change, list} = buildCountedFleet(1);
    const before = list();
    t.equal(list()[0], before[0]);
    change(update => update.write(WORKERS).delete('worker-0'));
    const after = list();
    t.equal(after.length, WORKER_COUNT - 1);
    t.equal(after[0], before[1]);
  },
);
