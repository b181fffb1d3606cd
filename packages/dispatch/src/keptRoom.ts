import {RESOURCE_NAMES, type Resources} from '@samphireramp/jobs';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasksWith,
  meetsRequirements,
} from './candidates';
import type {GangPlan} from './gangPlan';

/** Room on one worker that is kept for a gang. */
interface Room {
  readonly gang: ReadyStep;
  readonly candidate: Candidate;
  /** The gang is expected to use it from this time on, on the monotonic clock. */
  readonly until: number;
  /** What is left of it. */
  readonly free: Record<keyof Resources, number>;
}

/**
 * Room that a pass keeps for gangs that wait. A step that is expected to end before the
 * gang uses the room gets it on loan; the others only get what is left beside it.
 */
export class KeptRoom {
  private readonly rooms: Room[] = [];
  private readonly lent = new Set<Room>();
  /** No room is lent for longer than this, in milliseconds on a worker of normal speed. */
  private longestLoanMillis = 0;

  constructor(private readonly now: number) {}

  /** Keeps the room of a plan for a gang from the steps behind. */
  keep(gang: ReadyStep, {fitsAt, rooms}: GangPlan): void {
    for (const {candidate, kept} of rooms) {
      const room = {gang, candidate, until: fitsAt, free: {...kept}};
      takeFrom(candidate, kept);
      this.rooms.push(room);
      this.longestLoanMillis = Math.max(
        this.longestLoanMillis,
        (fitsAt - this.now) * candidate.speed,
      );
    }
  }

  /** Whether no room is kept. */
  get isEmpty(): boolean {
    return this.rooms.length === 0;
  }

  /** Number of rooms on loan: steps with the same number find the same room. */
  get lentRooms(): number {
    return this.lent.size;
  }

  /** Lends the room in which a step with the expected run time ends before its gang begins. */
  lend(expectedMillis: number): void {
    if (expectedMillis > this.longestLoanMillis) {
      return;
    }
    for (const room of this.rooms) {
      const {candidate, until, free} = room;
      if (this.now + expectedMillis / candidate.speed <= until) {
        giveBack(candidate, free);
        this.lent.add(room);
      }
    }
  }

  /** Ends the loan; what a step has taken of a room is not kept any more. */
  takeBack(): void {
    for (const {candidate, free} of this.lent) {
      for (const name of RESOURCE_NAMES) {
        free[name] = Math.min(free[name], Math.max(0, candidate[name]));
      }
      takeFrom(candidate, free);
    }
    this.lent.clear();
  }

  /** Whether a step would fit into room that is kept from it, before the loan to it ends. */
  isKeptFrom(readyStep: ReadyStep): boolean {
    const {step, openTasks} = readyStep;
    let tasksLeft = step.isGang ? openTasks.length : 1;
    for (const room of this.rooms) {
      if (room.gang !== readyStep && !this.lent.has(room)) {
        tasksLeft -= countFittingInto(room, readyStep);
      }
      if (tasksLeft <= 0) {
        return true;
      }
    }
    return false;
  }
}

/** Counts the tasks of a step that fit on a worker with what is kept there for a gang. */
function countFittingInto(
  {candidate, free}: Room,
  readyStep: ReadyStep,
): number {
  if (!meetsRequirements(candidate.worker, readyStep)) {
    return 0;
  }
  const withRoom = {
    cpuMillis: candidate.cpuMillis + free.cpuMillis,
    memoryMegabytes: candidate.memoryMegabytes + free.memoryMegabytes,
    accelerators: candidate.accelerators + free.accelerators,
  };
  return countFittingTasksWith(candidate, readyStep, withRoom);
}

/** Deducts amounts from the free resources of a worker for the rest of the pass. */
export function takeFrom(candidate: Candidate, amounts: Resources): void {
  for (const name of RESOURCE_NAMES) {
    candidate[name] -= amounts[name];
  }
}

function giveBack(candidate: Candidate, amounts: Resources): void {
  for (const name of RESOURCE_NAMES) {
    candidate[name] += amounts[name];
  }
}
