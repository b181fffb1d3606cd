import {addResources} from '@samphireramp/jobs';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  countFittingTasksWith,
} from './candidates';

/** When a gang that doesn't start now is expected to fit, and where it has room already. */
export interface GangPlan {
  /** Time of the runtime's monotonic clock. */
  readonly fitsAt: number;
  /** Tasks of the gang that have room now, by worker. */
  readonly tasksByCandidate: ReadonlyMap<Candidate, number>;
}

/** Tasks that fit on a worker from some time on, beside those that fit before. */
interface Gain {
  readonly at: number;
  readonly tasks: number;
}

/**
 * Finds the earliest time at which all tasks of a gang are expected to fit, from what
 * is free and what the runs on the workers release; undefined if no such time is known.
 */
export function expectFit(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  now: number,
): number | undefined {
  const earliest = new EarliestGains(readyStep.openTasks.length);
  for (const candidate of candidates) {
    earliest.add({at: now, tasks: countFittingTasks(candidate, readyStep)});
  }
  for (const candidate of candidates) {
    addLaterGains(earliest, candidate, readyStep, now);
  }
  return earliest.fitsAt;
}

/**
 * Plans to reserve the room that there is now for tasks of a gang until the rest comes;
 * undefined if there is none, or no time is known.
 */
export function planGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  expectedFit: () => number | undefined,
): GangPlan | undefined {
  const tasksByCandidate = new Map<Candidate, number>();
  for (const candidate of candidates) {
    const tasks = countFittingTasks(candidate, readyStep);
    if (tasks > 0) {
      tasksByCandidate.set(candidate, tasks);
    }
  }
  const fitsAt = tasksByCandidate.size > 0 ? expectedFit() : undefined;
  return fitsAt === undefined ? undefined : {fitsAt, tasksByCandidate};
}

/** Plans a gang that fits on the chosen workers now, once it may begin there. */
export function planChosen(
  placements: readonly Placement[],
  now: number,
): GangPlan {
  const tasksByCandidate = new Map<Candidate, number>();
  for (const {candidate} of placements) {
    const before = tasksByCandidate.get(candidate) ?? 0;
    tasksByCandidate.set(candidate, before + 1);
  }
  return {fitsAt: now, tasksByCandidate};
}

/** The gains that come first, as many as a number of tasks needs. */
class EarliestGains {
  /** In the order of time. */
  private readonly gains: Gain[] = [];
  private tasks = 0;

  constructor(private readonly neededTasks: number) {}

  /** When all tasks fit; undefined if they don't yet. */
  get fitsAt(): number | undefined {
    return this.tasks >= this.neededTasks ? this.gains.at(-1)?.at : undefined;
  }

  /** Adds a gain, and drops those that are not needed any more. */
  add(gain: Gain): void {
    if (gain.tasks === 0) {
      return;
    }
    let index = this.gains.length;
    while (index > 0 && this.gains[index - 1].at > gain.at) {
      index--;
    }
    this.gains.splice(index, 0, gain);
    this.tasks += gain.tasks;
    for (
      let last = this.gains.at(-1);
      last !== undefined && this.tasks - last.tasks >= this.neededTasks;
      last = this.gains.at(-1)
    ) {
      this.gains.pop();
      this.tasks -= last.tasks;
    }
  }
}

/** Adds how many tasks more fit on a worker as its runs end, as far as that is early. */
function addLaterGains(
  earliest: EarliestGains,
  candidate: Candidate,
  readyStep: ReadyStep,
  now: number,
): void {
  let fitting = countFittingTasks(candidate, readyStep);
  const {cpuMillis, memoryMegabytes, accelerators} = candidate;
  const free = {cpuMillis, memoryMegabytes, accelerators};
  for (const {at, resources} of candidate.listReleases(now)) {
    if (at >= (earliest.fitsAt ?? Infinity)) {
      return;
    }
    addResources(free, resources);
    const tasks = countFittingTasksWith(candidate, readyStep, free) - fitting;
    if (tasks > 0) {
      earliest.add({at, tasks});
      fitting += tasks;
    }
  }
}
