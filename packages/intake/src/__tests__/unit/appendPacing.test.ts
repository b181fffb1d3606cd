import t from 'tap';
import {
  type AppendLoad,
  MAX_BATCH_REQUESTS,
  addAppendTime,
  canAcceptInTime,
  choosePartition,
  countFreeBatches,
  repetitionDelayMillis,
} from '../../appendPacing';

const IDLE: AppendLoad = {
  meanAppendMillis: 4,
  batchesInFlight: 0,
  oldestBatchMillis: 0,
};

void t.test('a late batch leaves no place for another one', async t => {
  t.equal(countFreeBatches(IDLE), 3);
  t.equal(countFreeBatches({...IDLE, batchesInFlight: 1}), 2);
  const late = {...IDLE, batchesInFlight: 1, oldestBatchMillis: 60};
  t.equal(countFreeBatches(late), 0);
  t.equal(countFreeBatches({...late, batchesInFlight: 3}), 0);
});

void t.test('one batch at a time is appended to a slow log', async t => {
  const slow = {...IDLE, meanAppendMillis: 400};
  t.equal(countFreeBatches(slow), 1);
  t.equal(countFreeBatches({...slow, batchesInFlight: 1}), 0);
});

void t.test('repetitions follow the time that appends take', async t => {
  t.equal(repetitionDelayMillis(4, 0), 250);
  t.ok(repetitionDelayMillis(300, 0) >= 2 * 300);
  t.ok(repetitionDelayMillis(4, 1) >= 3 * repetitionDelayMillis(4, 0));
});

void t.test('the append time rises faster than it falls', async t => {
  const risen = addAppendTime(0, 1000);
  t.ok(risen > 500 && risen < 1000);
  const fallen = addAppendTime(risen, 0);
  t.ok(fallen > risen / 2 && fallen < risen);
});

void t.test(
  'a host that was paused during appends accepts requests again',
  async t => {
    let meanAppendMillis = 4;
    for (let time = 0; time < 20; time++) {
      meanAppendMillis = addAppendTime(meanAppendMillis, 60_000);
    }
    t.ok(canAcceptInTime({...IDLE, meanAppendMillis}, 0));
  },
);

void t.test(
  'a request is refused at once if the log is too slow for it',
  async t => {
    t.ok(canAcceptInTime(IDLE, 0));
    const slow = {...IDLE, meanAppendMillis: 1200};
    t.ok(canAcceptInTime(slow, 0));
    const busy = {...slow, batchesInFlight: 1, oldestBatchMillis: 100};
    t.ok(canAcceptInTime(busy, 0));
    t.notOk(canAcceptInTime(busy, MAX_BATCH_REQUESTS));
    const slower = {...busy, meanAppendMillis: 2000};
    t.notOk(canAcceptInTime(slower, 0));
    t.ok(
      canAcceptInTime({...slower, batchesInFlight: 0, oldestBatchMillis: 0}, 0),
      'one batch finds out whether the log is well again',
    );
  },
);

void t.test(
  'an append goes to a partition that took the last ones',
  async t => {
    const choose = (tried: number[], avoided: number[]) =>
      choosePartition(
        2,
        4,
        partition => tried.includes(partition),
        partition => avoided.includes(partition),
      );
    t.equal(choose([], []), 2);
    t.equal(choose([], [2, 3]), 0);
    t.equal(choose([2, 3], [0]), 1);
    t.equal(choose([2], [0, 1, 3]), 3, 'an untried one if all are avoided');
    t.equal(choose([0, 1, 2, 3], []), 2, 'any if all have been tried');
  },
);
