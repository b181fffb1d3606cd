import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {
  type Resources,
  NO_RESOURCES,
  type RunId,
  runKey,
} from '@samphireramp/jobs';
import type {Run} from './Run';
import type {Worker} from './Worker';

/** Whether workers may be held: not before the accepted jobs are known. */
export const MAY_COMMAND_WORKERS = createValueSlice('may-hold', false);

/** Workers by life. */
export const WORKERS = createTableSlice<Worker>('workers');

/** Runs by key, indexed by the life of their worker. */
export const RUNS = createIndexedTableSlice<Run>(
  'runs',
  run => run.incarnation,
);

/** Room that is left on a worker. */
export function freeResources(state: StateReader, worker: Worker): Resources {
  const {capacity, incarnation: life} = worker;
  let {cpuMillis, memoryMegabytes, accelerators} = capacity;
  for (const {need} of state.read(RUNS).withKey(life)) {
    cpuMillis -= need.cpuMillis;
    memoryMegabytes -= need.memoryMegabytes;
    accelerators -= need.accelerators;
  }
  return {cpuMillis, memoryMegabytes, accelerators};
}

/** Takes room for a run that is ordered once the journal has it. */
export function reserveRun(
  update: Update,
  place: RunId,
  life: string,
  need: Resources,
  mayStall: boolean,
): void {
  update.write(RUNS).set(runKey(place), {
    runId: place,
    incarnation: life,
    need,
    phase: 'reserved',
    orderedAt: update.now,
    orders: 0,
    startedAt: undefined,
    isReported: false,
    percent: 0,
    progressedAt: update.now,
    expectsProgress: mayStall,
    checkpoint: '',
  });
}

/** Takes in a run that a worker lists. */
export function adoptRun(
  update: Update,
  place: RunId,
  life: string,
  need: Resources,
  mayStall: boolean,
): void {
  reserveRun(update, place, life, need, mayStall);
  changeRun(update, runKey(place), {phase: 'running', startedAt: update.now});
}

/** Changes fields of a run, if it is known. */
export function changeRun(
  update: Update,
  key: string,
  change: Partial<Run>,
): void {
  const runs = update.write(RUNS);
  const run = runs.get(key);
  if (run !== undefined) {
    runs.set(key, {...run, ...change});
  }
}

/** Changes fields of a worker, if it is known. */
export function changeWorker(
  update: Update,
  life: string,
  change: Partial<Worker>,
): void {
  const workers = update.write(WORKERS);
  const worker = workers.get(life);
  if (worker !== undefined) {
    workers.set(life, {...worker, ...change});
  }
}

/** Room that a run of unknown size may take: all of it. */
export function totalResources(state: StateReader, life: string): Resources {
  return state.read(WORKERS).get(life)?.capacity ?? NO_RESOURCES;
}
