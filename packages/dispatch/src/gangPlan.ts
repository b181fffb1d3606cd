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
  readonly tasksNow: number;
  /** What must be kept of the resources that are free now. */
  readonly kept: Resources;
  /** What the gang needs beside of the resources that runs are expected to release. */
  readonly promised: Resources;
}

/** Where and when a gang that doesn't fit now is expected to fit. */
export interface GangPlan {
  /** Time of the runtime's monotonic clock. */
  readonly fitsAt: number;
  readonly rooms: readonly PlannedRoom[];
}

/** Tasks that fit on a worker from some time on, beside those that fit before. */
interface Gain {
  readonly at: number;
  readonly candidate: Candidate;
  readonly tasks: number;
}

/** Resources that can be counted up and down. */
type Amounts = Record<keyof Resources, number>;

/**
 * Finds the earliest time at which all tasks of a gang are expected to fit, from what
 * is free and what the runs on the workers release; undefined if no such time is known.
 * The room that comes first is used, so that nothing is kept on the other workers.
 */
export function planGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  now: number,
): GangPlan | undefined {
  const earliest = new EarliestGains(readyStep.openTasks.length);
  for (const candidate of candidates) {
    const tasks = countFittingTasks(candidate, readyStep);
    earliest.add({at: now, candidate, tasks});
  }
  for (const candidate of candidates) {
    addLaterGains(earliest, candidate, readyStep, now);
  }
  const {fitsAt} = earliest;
  if (fitsAt === undefined) {
    return undefined;
  }
  const rooms = [...earliest.tasksByCandidate()].map(([candidate, tasks]) =>
    planRoom(candidate, readyStep, tasks, fitsAt, now),
  );
  return {fitsAt, rooms};
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

  /** Counts the tasks on each worker, no more than needed. */
  tasksByCandidate(): ReadonlyMap<Candidate, number> {
    const counts = new Map<Candidate, number>();
    let left = this.neededTasks;
    for (const {candidate, tasks} of this.gains) {
      const used = Math.min(left, tasks);
      counts.set(candidate, (counts.get(candidate) ?? 0) + used);
      left -= used;
    }
    return counts;
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
  const free = sumOf(candidate, candidate.promised, -1);
  for (const {at, resources} of listReleases(candidate, now)) {
    if (at >= (earliest.fitsAt ?? Infinity)) {
      return;
    }
    add(free, resources);
    const tasks = countFittingTasksWith(candidate, readyStep, free) - fitting;
    if (tasks > 0) {
      earliest.add({at, candidate, tasks});
      fitting += tasks;
    }
  }
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
    tasksNow: tasks,
    kept: leastOf(candidate, sumOf(NO_RESOURCES, taskResources, tasks)),
    promised: NO_RESOURCES,
  }));
  return {fitsAt: now, rooms};
}

/** Lists the expected releases on a worker in the order of time. */
function listReleases(
  {releases}: Candidate,
  now: number,
): readonly ExpectedRelease[] {
  if (releases.length === 0 || releases[0].at > now) {
    return releases;
  }
  return releases
    .map(({at, resources}) => ({at: postponeOverdue(at, now), resources}))
    .sort((a, b) => a.at - b.at);
}

/** Tells what a number of tasks of a gang need now so that they fit later. */
function planRoom(
  candidate: Candidate,
  readyStep: ReadyStep,
  tasks: number,
  fitsAt: number,
  now: number,
): PlannedRoom {
  const released = sumOf(NO_RESOURCES, candidate.promised, -1);
  for (const {at, resources} of listReleases(candidate, now)) {
    if (at <= fitsAt) {
      add(released, resources);
    }
  }
  const kept = {...NO_RESOURCES};
  const promised = {...NO_RESOURCES};
  for (const name of RESOURCE_NAMES) {
    const need = readyStep.taskResources[name] * tasks;
    const unreleased = Math.max(0, need - released[name]);
    kept[name] = Math.min(unreleased, Math.max(0, candidate[name]));
    promised[name] = need - kept[name];
  }
  const tasksNow = Math.min(tasks, countFittingTasks(candidate, readyStep));
  return {candidate, tasksNow, kept, promised};
}

function leastOf(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMegabytes: Math.min(a.memoryMegabytes, b.memoryMegabytes),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

function sumOf(a: Resources, b: Resources, factor: number): Amounts {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis * factor,
    memoryMegabytes: a.memoryMegabytes + b.memoryMegabytes * factor,
    accelerators: a.accelerators + b.accelerators * factor,
  };
}

function add(amounts: Amounts, added: Resources): void {
  for (const name of RESOURCE_NAMES) {
    amounts[name] += added[name];
  }
}
