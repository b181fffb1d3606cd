import {type ExpectedRelease, postponeOverdue} from '@samphireramp/fleet';
import {NO_RESOURCES, RESOURCE_NAMES, type Resources} from '@samphireramp/jobs';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  countFittingTasksWith,
} from './candidates';

/** Room on one worker that a gang waits for. */
export interface PlannedRoom {
  readonly candidate: Candidate;
  /** Tasks of the gang that have room now. */
  readonly tasks: number;
  /** What is kept for them. */
  readonly kept: Resources;
}

/** When a gang that doesn't start now is expected to fit, and what is kept until then. */
export interface GangPlan {
  /** Time of the runtime's monotonic clock. */
  readonly fitsAt: number;
  readonly rooms: readonly PlannedRoom[];
}

/** Tasks that fit on a worker from some time on, beside those that fit before. */
interface Gain {
  readonly at: number;
  readonly tasks: number;
}

/** Resources that can be counted up and down. */
type Amounts = Record<keyof Resources, number>;

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
 * Plans to keep the room that there is now for tasks of a gang until the rest comes;
 * undefined if there is none, or no time is known.
 */
export function planGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  expectedFit: () => number | undefined,
): GangPlan | undefined {
  const rooms: PlannedRoom[] = [];
  for (const candidate of candidates) {
    const tasks = countFittingTasks(candidate, readyStep);
    if (tasks > 0) {
      const kept = multiply(readyStep.taskResources, tasks);
      rooms.push({candidate, tasks, kept});
    }
  }
  const fitsAt = rooms.length > 0 ? expectedFit() : undefined;
  return fitsAt === undefined ? undefined : {fitsAt, rooms};
}

/** Plans a gang that fits on the chosen workers now, once it may begin there. */
export function planChosen(
  placements: readonly Placement[],
  {taskResources}: ReadyStep,
  now: number,
): GangPlan {
  const tasksByCandidate = new Map<Candidate, number>();
  for (const {candidate} of placements) {
    const before = tasksByCandidate.get(candidate) ?? 0;
    tasksByCandidate.set(candidate, before + 1);
  }
  const rooms = [...tasksByCandidate].map(([candidate, tasks]) => ({
    candidate,
    tasks,
    // Some of it may have been on loan.
    kept: leastOf(candidate, multiply(taskResources, tasks)),
  }));
  return {fitsAt: now, rooms};
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
  for (const {at, resources} of listPendingReleases(candidate, now)) {
    if (at >= (earliest.fitsAt ?? Infinity)) {
      return;
    }
    add(free, resources);
    const tasks = countFittingTasksWith(candidate, readyStep, free) - fitting;
    if (tasks > 0) {
      earliest.add({at, tasks});
      fitting += tasks;
    }
  }
}

/** Lists the expected releases on a worker in the order of time. */
function listPendingReleases(
  candidate: Candidate,
  now: number,
): readonly ExpectedRelease[] {
  const releases = candidate.listReleases();
  if (releases.length === 0 || releases[0].at > now) {
    return releases;
  }
  return releases
    .map(({at, resources}) => ({at: postponeOverdue(at, now), resources}))
    .sort((a, b) => a.at - b.at);
}

function leastOf(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMegabytes: Math.min(a.memoryMegabytes, b.memoryMegabytes),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

function multiply(need: Resources, tasks: number): Resources {
  const amounts = {...NO_RESOURCES};
  for (const name of RESOURCE_NAMES) {
    amounts[name] = need[name] * tasks;
  }
  return amounts;
}

function add(amounts: Amounts, added: Resources): void {
  for (const name of RESOURCE_NAMES) {
    amounts[name] += added[name];
  }
}
