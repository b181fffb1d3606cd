import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {stepKey} from '@samphireramp/jobs';
import {RUNS, WORKERS} from './FleetState';
import type {Worker} from './Worker';

/** Workers of a rack that are lost within this time are lost together. */
const TOGETHER_MILLIS = 1000;
/** Number of workers that must be lost together with their rack. */
const MIN_LOST_WORKERS = 4;
/** Share of the workers of a rack that must be lost together with it. */
const MIN_LOST_SHARE = 0.75;
/** How long a crash of a worker counts. */
const KEEP_CRASHES_MILLIS = 60_000;
/** Number of crashes of a worker that are kept. */
const MAX_KEPT_CRASHES = 16;
/** Number of crashes after which a worker may be the cause of the next one. */
const MIN_FLAPS = 3;
/** It is if it crashed this many times as often as the workers do on average. */
const FLAPS_OF_AVERAGE = 3;

/** The loss of a worker. */
interface LostWorker {
  readonly id: string;
  readonly rack: string;
  readonly lostAt: number;
  /** Keys of the steps of which it had runs. */
  readonly steps: ReadonlySet<string>;
}

/** The latest crash of a worker, and when it crashed before. */
interface CrashedWorker extends LostWorker {
  readonly crashTimes: readonly number[];
}

/** Workers whose crash was reported lately, by id. */
export const CRASHED_WORKERS =
  createTableSlice<CrashedWorker>('crashed-workers');

/** Records the crash of a worker, and forgets old ones. */
export function recordCrash(
  update: Update,
  {id, rack, silentSince}: Worker,
  steps: ReadonlySet<string>,
): void {
  const crashed = update.write(CRASHED_WORKERS);
  for (const [key, {lostAt}] of [...crashed.entries()]) {
    if (update.now - lostAt > KEEP_CRASHES_MILLIS) {
      crashed.delete(key);
    }
  }
  const lostAt = silentSince ?? update.now;
  const crashTimes = [...(crashed.get(id)?.crashTimes ?? []), lostAt]
    .filter(time => update.now - time <= KEEP_CRASHES_MILLIS)
    .slice(-MAX_KEPT_CRASHES);
  crashed.set(id, {id, rack, lostAt, steps, crashTimes});
}

/** Counts the crashes of a worker lately. */
export function countRecentCrashes(
  state: StateReader,
  workerId: string,
): number {
  return state.read(CRASHED_WORKERS).get(workerId)?.crashTimes.length ?? 0;
}

/**
 * Whether a worker has crashed far more often than the others lately, so that its
 * next crash is its own fault. Where many tasks crash workers, all crash often.
 */
export function isFlapping(state: StateReader, workerId: string): boolean {
  const crashes = countRecentCrashes(state, workerId);
  let allCrashes = 0;
  for (const {crashTimes} of state.read(CRASHED_WORKERS).values()) {
    allCrashes += crashTimes.length;
  }
  const average = allCrashes / Math.max(1, state.read(WORKERS).size);
  return crashes >= MIN_FLAPS && crashes >= average * FLAPS_OF_AVERAGE;
}

/**
 * Whether most workers of a rack were lost at the same time, and no step had
 * tasks on all of them: its power or its switch failed, and no task is the cause.
 */
export function isCommonCause(state: StateReader, worker: Worker): boolean {
  const lostAt = worker.silentSince;
  if (lostAt === undefined) {
    return false;
  }
  const idsOfRack = new Set<string>();
  const lost = new Map<string, LostWorker>();
  const addIfTogether = (other: LostWorker) => {
    const isTogether = Math.abs(other.lostAt - lostAt) <= TOGETHER_MILLIS;
    if (other.rack === worker.rack && isTogether) {
      lost.set(other.id, other);
    }
  };
  for (const {id, rack, silentSince, incarnation} of state
    .read(WORKERS)
    .values()) {
    if (rack !== worker.rack) {
      continue;
    }
    idsOfRack.add(id);
    if (silentSince !== undefined) {
      const runs = state.read(RUNS).withKey(incarnation);
      const steps = new Set(runs.map(({runId}) => stepKey(runId)));
      addIfTogether({id, rack, lostAt: silentSince, steps});
    }
  }
  [...state.read(CRASHED_WORKERS).values()].forEach(addIfTogether);
  const least = Math.max(MIN_LOST_WORKERS, idsOfRack.size * MIN_LOST_SHARE);
  return lost.size >= least && !haveCommonStep([...lost.values()]);
}

function haveCommonStep([first, ...others]: readonly LostWorker[]): boolean {
  return [...first.steps].some(key =>
    others.every(({steps}) => steps.has(key)),
  );
}
