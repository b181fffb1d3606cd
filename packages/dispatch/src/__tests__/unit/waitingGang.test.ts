import {buildStep} from '@samphireramp/testing';
import t from 'tap';
import type {ReadyStep} from '../../candidates';
import {packGang} from '../../gangPlacement';
import {buildCandidate, buildOpenStep} from './candidateFixture';

const CAPACITY = {cpuMillis: 4000, memoryMegabytes: 4000, accelerators: 0};
const WORKER_COUNT = 30;

/** Workers with room for one task each, and a count of the looks at their racks. */
function buildWorkers() {
  const looks = {count: 0};
  const room = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 0};
  const candidates = Array.from({length: WORKER_COUNT}, (_, index) => {
    const worker = {
      id: `worker-${index}`,
      capacity: CAPACITY,
      get rack() {
        looks.count++;
        return 'rack';
      },
    };
    return buildCandidate(worker, room);
  });
  return {candidates, looks};
}

function buildGang(tasks: number): ReadyStep {
  const need = {cpuMillis: 1000, memoryMegabytes: 1000, accelerators: 0};
  return buildOpenStep(
    buildStep({count: tasks, isGang: true, dataRack: 'rack', need}),
  );
}

// Guards against passes that sort all workers for each gang that waits for room.
void t.test('a gang that can not fit has no workers ranked for it', async t => {
  const {candidates, looks} = buildWorkers();
  t.equal(packGang(candidates, buildGang(WORKER_COUNT + 1)), undefined);
  t.equal(looks.count, 0);
});

void t.test('a gang that fits just so is placed', async t => {
  const {candidates} = buildWorkers();
  const placements = packGang(candidates, buildGang(WORKER_COUNT));
  t.equal(placements?.length, WORKER_COUNT);
});
