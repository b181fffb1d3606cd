import {RESOURCE_NAMES, type Resources, addResources} from '@samphireramp/jobs';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasksWith,
  meetsRequirements,
} from './candidates';
import type {GangPlan} from './gangPlan';

/** Room on one worker that is reserved for a gang. */
interface ReservedRoom {
  readonly gang: ReadyStep;
  readonly candidate: Candidate;
  /** The gang is expected to use it from this time on, on the monotonic clock. */
  readonly until: number;
  /** What backfill has left of it in this pass. */
  readonly resources: Resources;
}

/** The room that a pass reserves on workers for gangs that wait, and its backfill. */
export class RoomReservations {
  private readonly rooms: ReservedRoom[] = [];
  /** The rooms that the present step may use, as it ends before their gangs begin. */
  private readonly backfillable = new Set<ReservedRoom>();

  constructor(private readonly now: number) {}

  /** Whether no room is reserved. */
  get isEmpty(): boolean {
    return this.rooms.length === 0;
  }

  /** Number of rooms open for backfill: a need finds the same room for the same number. */
  get backfillableRooms(): number {
    return this.backfillable.size;
  }

  /** Reserves the room of a plan for a gang, as far as it is free. */
  reserve(gang: ReadyStep, {fitsAt, tasksByCandidate}: GangPlan): void {
    for (const [candidate, tasks] of tasksByCandidate) {
      const resources = leastOf(candidate, gang.taskResources, tasks);
      addResources(candidate, resources, -1);
      this.rooms.push({gang, candidate, until: fitsAt, resources});
    }
  }

  /** Frees the rooms for a step whose runs of this duration end before their gangs begin. */
  beginBackfill(runMillis: number): void {
    for (const room of this.rooms) {
      const {candidate, until, resources} = room;
      if (this.now + runMillis / candidate.speed <= until) {
        addResources(candidate, resources);
        this.backfillable.add(room);
      }
    }
  }

  /** Reserves again what the step has left of the rooms. */
  endBackfill(): void {
    for (const {candidate, resources} of this.backfillable) {
      Object.assign(resources, leastOf(candidate, resources, 1));
      addResources(candidate, resources, -1);
    }
    this.backfillable.clear();
  }

  /** Whether a step would fit into room that is reserved from it. */
  isBlocking(readyStep: ReadyStep): boolean {
    const {step, openTasks} = readyStep;
    let tasksLeft = step.isGang ? openTasks.length : 1;
    for (const room of this.rooms) {
      if (room.gang !== readyStep && !this.backfillable.has(room)) {
        tasksLeft -= countFittingInto(room, readyStep);
      }
      if (tasksLeft <= 0) {
        return true;
      }
    }
    return false;
  }
}

/** Counts the tasks of a step that fit on a worker with what is reserved there. */
function countFittingInto(
  {candidate, resources}: ReservedRoom,
  readyStep: ReadyStep,
): number {
  if (!meetsRequirements(candidate.worker, readyStep)) {
    return 0;
  }
  const {cpuMillis, memoryMegabytes, accelerators} = candidate;
  const free = {cpuMillis, memoryMegabytes, accelerators};
  addResources(free, resources);
  return countFittingTasksWith(candidate, readyStep, free);
}

/** Returns a multiple of some resources, or what is free if that is less. */
function leastOf(free: Resources, wanted: Resources, times: number): Resources {
  const least = {...wanted};
  for (const name of RESOURCE_NAMES) {
    least[name] = Math.min(wanted[name] * times, Math.max(0, free[name]));
  }
  return least;
}
