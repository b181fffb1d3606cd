import {type Step, type Task, UNATTRIBUTED_RUN} from '@samphireramp/jobs';

/** Crashes after which a task is given up if it alone can have caused the last. */
const MAX_CRASHES_ALONE = 2;
/** Crashes after which a task is given up in any case. */
const MAX_CRASHES = 3;
const NO_TASKS: ReadonlySet<number> = new Set();

/** What is known of a task that may have crashed a worker. */
export interface CrashSuspect {
  readonly task: Task;
  /** Identifies the task; the tasks of a gang share it. */
  readonly key: string;
}

/** Counts the crashes under a task itself, not those under others of its gang. */
function countCrashes({crashedRuns}: Task): number {
  return crashedRuns.filter(run => run !== UNATTRIBUTED_RUN).length;
}

/**
 * Lists the tasks of a step, by index, that start on trial as they may crash their
 * workers. A gang does as a whole, as none of its members starts without the others.
 */
export function listSuspected(
  {isGang}: Step,
  tasks: readonly Task[],
): ReadonlySet<number> {
  if (!tasks.some(isSuspectedTask)) {
    return NO_TASKS;
  }
  const indices = [...tasks.keys()];
  return new Set(
    isGang ? indices : indices.filter(index => isSuspectedTask(tasks[index])),
  );
}

/** Whether a worker crashed under a task, or under its gang, since it was cleared. */
export function isSuspectedTask({crashedRuns}: Task): boolean {
  return crashedRuns.length > 0;
}

/**
 * Chooses the suspects that a crash is charged to: those under which the most workers
 * crashed before. Without an earlier crash that is each of them.
 */
export function chooseCharged<Suspect extends CrashSuspect>(
  suspects: readonly Suspect[],
): Suspect[] {
  const counts = suspects.map(({task}) => countCrashes(task));
  const highest = Math.max(0, ...counts);
  return suspects.filter(({task}) => countCrashes(task) === highest);
}

/**
 * Whether no other task can have caused a crash: the suspects are one task, or the
 * tasks of one gang, and no other run may have begun.
 */
export function isOnlySuspect(
  suspects: readonly CrashSuspect[],
  hasOthers: boolean,
): boolean {
  const keys = new Set(suspects.map(({key}) => key));
  return keys.size === 1 && !hasOthers;
}

/**
 * Whether a task is given up after a crash that was charged to it. It has crashed
 * a worker that it alone had begun on, or more workers than chance explains.
 */
export function isGivenUp(task: Task, isAlone: boolean): boolean {
  const limit = isAlone ? MAX_CRASHES_ALONE : MAX_CRASHES;
  return countCrashes(task) >= limit;
}

/** Returns a task with a crash under one of its runs; a run counts once. */
export function withCrash(task: Task, run: number): Task {
  return task.phase === 'done' || task.crashedRuns.includes(run)
    ? task
    : {...task, crashedRuns: [...task.crashedRuns, run]};
}
