import type {Task} from '@samphireramp/jobs';

/** A crash within this time of the start of a run is strong evidence against it. */
export const YOUNG_RUN_MILLIS = 250;
/** Number of crashed runs without which no task is given up. */
const MIN_CRASHED_RUNS = 2;
/** Evidence from runs that were alone on their workers that gives a task up. */
const MIN_EVIDENCE_ALONE = 2;
/** Entries that are kept of a task; bounds its record in the journal. */
const MAX_ENTRIES = 6;

/**
 * How a task is tried again after crashes. `none`: it is not suspected; `apart`: on
 * a worker without other suspects, if there is one; `quiet`: on a worker with few
 * runs, where no other run starts at about the same time; `alone`: on a worker
 * without other runs, where none starts until it ends.
 */
export type Trial = 'none' | 'apart' | 'quiet' | 'alone';

/** A run on a worker that crashed, and what else it had. */
export interface CrashedRun {
  readonly run: number;
  /** Whether it is known to have begun. */
  readonly hasBegun: boolean;
  /** Time from its start to the crash; undefined if it isn't known. */
  readonly ageMillis: number | undefined;
  /** Whether it was a trial, and its worker had no other run. */
  readonly isTriedAlone: boolean;
  /** Whether its rack or the worker itself is the likely cause. */
  readonly hasOtherCause: boolean;
}

/** Chooses how a task is tried again, by the runs whose workers crashed. */
export function chooseTrial({crashedRuns}: Task): Trial {
  if (crashedRuns.length === 0) {
    return 'none';
  }
  if (countRuns(crashedRuns) >= MIN_CRASHED_RUNS) {
    return 'alone';
  }
  const isDoubled = new Set(crashedRuns).size < crashedRuns.length;
  return isDoubled && !crashedRuns.includes(0) ? 'quiet' : 'apart';
}

/**
 * Returns a task with a crash under one of its runs: an entry, and another one if
 * the run had just begun. With another likely cause only a task that is suspected
 * already is charged, as many tasks would be otherwise. The oldest entry that is no
 * evidence from a trial alone is dropped if there are too many.
 */
export function withCrash(
  task: Task,
  {run, hasBegun, ageMillis, isTriedAlone, hasOtherCause}: CrashedRun,
): Task {
  const isNew = task.crashedRuns.length === 0;
  if (task.phase === 'done' || (hasOtherCause && isNew)) {
    return task;
  }
  const shared = hasBegun ? run : 0;
  const entry = isTriedAlone ? -run : shared;
  const isYoung =
    ageMillis !== undefined && ageMillis <= YOUNG_RUN_MILLIS && !hasOtherCause;
  const crashedRuns = [
    ...task.crashedRuns,
    ...(isYoung ? [entry, entry] : [entry]),
  ];
  while (crashedRuns.length > MAX_ENTRIES) {
    const weakest = crashedRuns.findIndex(each => each >= 0);
    crashedRuns.splice(Math.max(0, weakest), 1);
  }
  return {...task, crashedRuns};
}

/** Whether a crash under a run is recorded already. */
export function isCharged({crashedRuns}: Task, run: number): boolean {
  return crashedRuns.some(entry => Math.abs(entry) === run);
}

/**
 * Whether a task is given up: at least two workers crashed under it, and it alone
 * can have crashed two of them, or one just after its start.
 */
export function isGivenUp({crashedRuns}: Task): boolean {
  const evidence = crashedRuns.filter(entry => entry < 0).length;
  return (
    countRuns(crashedRuns) >= MIN_CRASHED_RUNS && evidence >= MIN_EVIDENCE_ALONE
  );
}

function countRuns(crashedRuns: readonly number[]): number {
  const begun = crashedRuns.filter(entry => entry !== 0);
  return new Set(begun.map(Math.abs)).size;
}
