import {RESOURCE_KINDS, type ResourceVector} from '@samphireramp/model';
import type {CapacityReader} from './CapacityColumns';

/** Returned when no worker has room. */
export const NO_WORKER = -1;

/** Whether a row may be taken at all; the chooser still checks the room. */
export type RowFilter = (row: number) => boolean;

/** Picks the row of a worker that has room for `need`, or `NO_WORKER`. */
export type WorkerChooser = (
  capacity: CapacityReader,
  need: ResourceVector,
  accepts?: RowFilter,
) => number;

/** Picks the first worker with room. */
export const chooseFirstFit: WorkerChooser = (capacity, need, accepts) => {
  for (let row = 0; row < capacity.rows; row++) {
    if (mayTake(capacity, row, need, accepts)) {
      return row;
    }
  }
  return NO_WORKER;
};

/** Picks the worker that has least left over, by a scan of all of them. */
export const chooseBestFit: WorkerChooser = (capacity, need, accepts) => {
  const weights = weightsOf(capacity);
  let best = NO_WORKER;
  let leastLeft = Infinity;
  for (let row = 0; row < capacity.rows; row++) {
    if (!mayTake(capacity, row, need, accepts)) {
      continue;
    }
    const left = leftOver(capacity, row, weights);
    if (left < leastLeft) {
      leastLeft = left;
      best = row;
    }
  }
  return best;
};

/** Makes a chooser that compares `samples` workers drawn with `random`. */
export function createSampledChooser(
  random: () => number,
  samples: number,
): WorkerChooser {
  return (capacity, need, accepts) => {
    const weights = weightsOf(capacity);
    let best = NO_WORKER;
    let leastLeft = Infinity;
    for (let draw = 0; draw < samples; draw++) {
      const row = Math.floor(random() * capacity.rows);
      if (!mayTake(capacity, row, need, accepts)) {
        continue;
      }
      const left = leftOver(capacity, row, weights);
      if (left < leastLeft) {
        leastLeft = left;
        best = row;
      }
    }
    return best === NO_WORKER ? chooseBestFit(capacity, need, accepts) : best;
  };
}

function mayTake(
  capacity: CapacityReader,
  row: number,
  need: ResourceVector,
  accepts: RowFilter | undefined,
): boolean {
  return (
    capacity.usable[row] === 1 &&
    capacity.fitsAt(row, need) &&
    (accepts === undefined || accepts(row))
  );
}

/** Makes the kinds comparable: each counts as a part of the largest worker. */
function weightsOf(capacity: CapacityReader): number[] {
  return capacity.largest.map(value => (value === 0 ? 0 : 1 / value));
}

function leftOver(
  capacity: CapacityReader,
  row: number,
  weights: readonly number[],
): number {
  let left = 0;
  for (let kind = 0; kind < RESOURCE_KINDS.length; kind++) {
    left += capacity.free[kind][row] * weights[kind];
  }
  return left;
}
