import {RUNS} from '@samphireramp/fleet';
import {
  type StateReader,
  type Update,
  createValueSlice,
} from '@samphireramp/kernel';
import {type ReadyStep, URGENT_PRIORITY} from './candidates';
import {schedulePlacement} from './schedulePlacement';

/** Maximum tasks placed in one pass, so as not to delay other commands. */
const MAX_TASKS_PER_PASS = 128;
/**
 * Maximum starts under way at a time. More would wait in this process for longer
 * than the timeout of their orders.
 */
const MAX_STARTS_UNDER_WAY = 128;
/** The same, if urgent steps are placed. */
const MAX_URGENT_STARTS_UNDER_WAY = 2 * MAX_STARTS_UNDER_WAY;
/** Fewer tasks are not worth a pass while more starts are under way. */
const MIN_TASKS_PER_PASS = 32;
/** Share of the tasks of a pass that one step may take, so that others go on. */
const MAX_SHARE_OF_STEP = 0.5;

/** Whether the latest pass left tasks open since too many starts were under way. */
export const AWAITS_STARTS = createValueSlice('awaits-starts', false);

/** Schedules a pass if the latest one left tasks open until starts are confirmed. */
export function placeAfterStart(update: Update): void {
  if (update.read(AWAITS_STARTS).get()) {
    schedulePlacement(update);
  }
}

/** Starts that are placed and not confirmed, and those of them not yet ordered. */
export interface StartsUnderWay {
  readonly all: number;
  /** They wait for the journal to record their placement. */
  readonly unrecorded: number;
}

/** How many tasks one pass may still place. */
export class TaskAllowance {
  private readonly startsUnderWay: number;
  private placedTasks = 0;

  constructor(state: StateReader) {
    this.startsUnderWay = countStartsUnderWay(state).all;
  }

  /** Counts the tasks of a step that the pass may place; for a gang, all or none. */
  forStep(readyStep: ReadyStep): number {
    const {step, openTasks} = readyStep;
    const ofPass = this.ofPass(readyStep);
    const left = Math.max(0, ofPass - this.placedTasks);
    if (step.isGang) {
      return left > 0 ? openTasks.length : 0;
    }
    return Math.min(left, Math.ceil(ofPass * MAX_SHARE_OF_STEP));
  }

  /** Counts placed tasks. */
  take(tasks: number): void {
    this.placedTasks += tasks;
  }

  /** Whether more tasks of a step can be placed only once starts are confirmed. */
  awaitsStarts(readyStep: ReadyStep): boolean {
    return this.freeStarts(readyStep) - this.placedTasks < MIN_TASKS_PER_PASS;
  }

  private ofPass(readyStep: ReadyStep): number {
    const free = this.freeStarts(readyStep);
    return free < MIN_TASKS_PER_PASS ? 0 : Math.min(MAX_TASKS_PER_PASS, free);
  }

  /** Counts the starts that may still get under way when the pass begins. */
  private freeStarts({policy}: ReadyStep): number {
    const limit =
      policy.priority === URGENT_PRIORITY
        ? MAX_URGENT_STARTS_UNDER_WAY
        : MAX_STARTS_UNDER_WAY;
    return limit - this.startsUnderWay;
  }
}

/** Counts the starts that are under way. */
export function countStartsUnderWay(state: StateReader): StartsUnderWay {
  let all = 0;
  let unrecorded = 0;
  for (const totals of state.read(RUNS).summaries()) {
    all += totals.startsUnderWay;
    unrecorded += totals.unrecordedStarts;
  }
  return {all, unrecorded};
}
