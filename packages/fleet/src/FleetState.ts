import {
  type StateReader,
  type Update,
  createIndexedTableSlice,
  createSummarizedTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {
  type Resources,
  NO_RESOURCES,
  addResources,
  runKey,
} from '@samphireramp/jobs';
import type {Run} from './Run';
import {totalRuns} from './runTotals';
import type {Worker, WorkerRecord} from './Worker';

/**
 * Whether this host may poll workers and place runs on them. False until it has
 * read the accepted jobs from the log, but for those in partitions out of reach.
 */
export const MAY_COMMAND_WORKERS = createValueSlice('may-hold', false);

/** Lives of workers by incarnation, indexed by the id of the worker. */
export const WORKERS = createIndexedTableSlice<Worker>(
  'workers',
  worker => worker.id,
);

/** Runs by run key, indexed and totalled by the incarnation of their worker. */
export const RUNS = createSummarizedTableSlice(
  'runs',
  (run: Run) => run.incarnation,
  totalRuns,
);

/** Returns the resources of a worker that no run reserves. */
export function freeResources(
  state: StateReader,
  {capacity, incarnation}: Worker,
): Resources {
  const {reserved} = state.read(RUNS).summaryOf(incarnation);
  const free = {...capacity};
  addResources(free, reserved, -1);
  return free;
}

/** Whether free resources are negative: runs reserve more than there is. */
export function isOverCapacity({
  cpuMillis,
  memoryMegabytes,
  accelerators,
}: Resources): boolean {
  return cpuMillis < 0 || memoryMegabytes < 0 || accelerators < 0;
}

/** A run that is added to those that the holder knows. */
export type NewRun = Pick<
  Run,
  | 'runId'
  | 'incarnation'
  | 'account'
  | 'reserved'
  | 'expectedMillis'
  | 'expectsProgress'
>;

/**
 * Reserves resources for a run whose start is ordered once the journal has
 * recorded its placement.
 */
export function reserveRun(
  update: Update,
  {
    runId,
    incarnation,
    account,
    reserved,
    expectedMillis,
    expectsProgress,
  }: NewRun,
): void {
  update.write(RUNS).set(runKey(runId), {
    runId,
    incarnation,
    account,
    reserved,
    phase: 'reserved',
    lastOrderAt: update.now,
    startOrders: 0,
    confirmedAt: undefined,
    startedAt: undefined,
    isReported: false,
    percentDone: 0,
    progressedAt: update.now,
    expectedMillis,
    expectsProgress,
    checkpoint: '',
  });
}

/**
 * Adds a run that this holder did not order: one that an earlier holder placed,
 * or that a worker reports. It counts as running until the worker reports
 * otherwise.
 */
export function adoptRun(update: Update, run: NewRun): void {
  reserveRun(update, run);
  changeRun(update, runKey(run.runId), {
    phase: 'running',
    confirmedAt: update.now,
  });
}

/** Lists the other known lives of a worker. */
export function listOtherLives(
  state: StateReader,
  {id, incarnation}: Pick<WorkerRecord, 'id' | 'incarnation'>,
): Worker[] {
  return state
    .read(WORKERS)
    .withKey(id)
    .filter(other => other.incarnation !== incarnation);
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
  incarnation: string,
  change: Partial<Worker>,
): void {
  const workers = update.write(WORKERS);
  const worker = workers.get(incarnation);
  if (worker !== undefined) {
    workers.set(incarnation, {...worker, ...change});
  }
}

/**
 * Returns the total resources of a worker. A run whose step is unknown reserves
 * all of them, because its own need can't be told.
 */
export function totalResources(
  state: StateReader,
  incarnation: string,
): Resources {
  return state.read(WORKERS).get(incarnation)?.capacity ?? NO_RESOURCES;
}
