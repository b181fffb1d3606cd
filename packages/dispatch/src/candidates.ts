import {type RunTotals, type Worker, isOverCapacity} from '@samphireramp/fleet';
import {
  type Resources,
  type Occurrence,
  type QueuePolicy,
  type RunId,
  type Step,
  type Task,
  addResources,
  reservedResources,
} from '@samphireramp/jobs';
import {isSuspectedTask} from './crashSuspects';
import type {JobRow} from './DispatchState';
import type {StepAdvice} from './adviceState';

/** Share of the CPU and memory of a worker that only urgent steps may use. */
const URGENT_RESERVE_SHARE = 0.1;
/** Priority of the queues whose steps are urgent. */
export const URGENT_PRIORITY = 0;

/** A worker that accepts runs, with the resources still free in the pass. */
export interface Candidate {
  worker: Worker;
  /** Free CPU when the pass begins. */
  cpuMillisAtStart: number;
  cpuMillis: number;
  memoryMegabytes: number;
  accelerators: number;
  /** Whether it gets no more tasks in the pass, as a suspected task starts on it. */
  isClosed: boolean;
  /** Number of tasks that may be placed on it: few on a worker on probation. */
  startableRuns: number;
  /** Runs that it may still have, whose tasks may be placed elsewhere or be done. */
  stoppingRuns: readonly RunId[];
  /** Lists what its runs are expected to release, the first one first. */
  listReleases: RunTotals['listReleases'];
  /** 1 for a normal worker, 2 for one on which runs take half as long. */
  speed: number;
}

/** A step with tasks that can be placed now. */
export interface ReadyStep {
  readonly row: JobRow;
  readonly policy: QueuePolicy;
  readonly occurrence: Occurrence;
  readonly stepNumber: number;
  readonly step: Step;
  /** Indices of the tasks that are not placed and not done. */
  readonly openTasks: readonly number[];
  /** Placed tasks by the incarnation of their worker, if their number is limited. */
  readonly placedByWorker: ReadonlyMap<string, number>;
  /** Resources to reserve for each task. */
  readonly taskResources: Resources;
  /** Equal for steps whose tasks fit on the same workers, limits on one worker apart. */
  readonly fitKey: string;
}

/** Whether a worker has the pool and label that a step requires. */
export function meetsRequirements(
  worker: Worker,
  readyStep: ReadyStep,
): boolean {
  const {step, policy} = readyStep;
  return (
    worker.pool === policy.pool &&
    (step.requiredLabel === '' || worker.labels.includes(step.requiredLabel))
  );
}

/**
 * Counts the open tasks of a step that fit on a worker, by the resources left
 * in the pass, the reserve for urgent steps and the limit on one worker. None
 * fits on a worker that is over its capacity, even if it needs none of what is
 * lacking.
 */
export function countFittingTasks(
  candidate: Candidate,
  readyStep: ReadyStep,
): number {
  return countFittingTasksWith(candidate, readyStep, candidate);
}

/** Counts as `countFittingTasks` does, with `free` in place of what is left in the pass. */
export function countFittingTasksWith(
  candidate: Candidate,
  readyStep: ReadyStep,
  free: Resources,
): number {
  if (candidate.isClosed || isOverCapacity(free)) {
    return 0;
  }
  const {step, openTasks} = readyStep;
  const byLimit =
    step.mostOnOneWorker === 0
      ? Infinity
      : step.mostOnOneWorker - countTasksOn(candidate, readyStep);
  return Math.max(
    0,
    Math.min(
      countTasksWithin(free, candidate.worker, readyStep),
      byLimit,
      candidate.startableRuns,
      openTasks.length,
    ),
  );
}

/** Whether a worker has room for a task of a step, the limit on one worker apart. */
export function hasRoomFor(
  candidate: Candidate,
  readyStep: ReadyStep,
): boolean {
  return (
    !candidate.isClosed &&
    !isOverCapacity(candidate) &&
    candidate.startableRuns > 0 &&
    countTasksWithin(candidate, candidate.worker, readyStep) > 0
  );
}

/** Counts the tasks of a step that fit within free resources of a worker. */
function countTasksWithin(
  free: Resources,
  {capacity}: Worker,
  {taskResources, policy}: ReadyStep,
): number {
  let cpu = free.cpuMillis;
  let memory = free.memoryMegabytes;
  if (policy.priority !== URGENT_PRIORITY) {
    cpu -= urgentReserve(capacity.cpuMillis, taskResources.cpuMillis);
    memory -= urgentReserve(
      capacity.memoryMegabytes,
      taskResources.memoryMegabytes,
    );
  }
  return Math.min(
    countFits(cpu, taskResources.cpuMillis),
    countFits(memory, taskResources.memoryMegabytes),
    countFits(free.accelerators, taskResources.accelerators),
  );
}

/**
 * Counts the tasks of a step that a worker may have: those that are placed on it, and
 * those of other runs that are being stopped there.
 */
function countTasksOn(
  {worker: {incarnation}, stoppingRuns}: Candidate,
  {row, occurrence, stepNumber, placedByWorker}: ReadyStep,
): number {
  const tasks = occurrence.steps[stepNumber];
  const unplacedRuns = stoppingRuns.filter(
    ({jobId, occurrence: number, step, index, run}) =>
      jobId === row.job.id &&
      number === occurrence.number &&
      step === stepNumber &&
      !isPlacedAs(tasks.at(index), run, incarnation),
  );
  return (placedByWorker.get(incarnation) ?? 0) + unplacedRuns.length;
}

function isPlacedAs(
  task: Task | undefined,
  run: number,
  incarnation: string,
): boolean {
  return (
    task?.phase === 'placed' && task.run === run && task.worker === incarnation
  );
}

/**
 * Amount of a resource that is reserved for urgent steps: none if a task would
 * otherwise not fit even on an empty worker.
 */
function urgentReserve(capacity: number, required: number): number {
  const share = capacity * URGENT_RESERVE_SHARE;
  return required > capacity - share ? 0 : share;
}

/** Counts how often a required amount fits into the available one. */
function countFits(available: number, required: number): number {
  return required <= 0 ? Infinity : Math.floor(available / required);
}

function countPlacedTasks(tasks: readonly Task[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {phase, worker} of tasks) {
    if (phase === 'placed') {
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
  }
  return counts;
}

/** Deducts the resources of tasks of a step for the rest of the pass. */
export function deductTasks(
  candidate: Candidate,
  readyStep: ReadyStep,
  taskCount: number,
): void {
  addResources(candidate, readyStep.taskResources, -taskCount);
  candidate.startableRuns -= taskCount;
}

/**
 * Whether a step may run on a worker: its queue has no adviser, or the adviser
 * gave a permit, even if the ticket has expired.
 */
export function isPermitted(
  worker: Worker,
  readyStep: ReadyStep,
  advice: StepAdvice,
): boolean {
  return readyStep.policy.advice === undefined || advice.permits.has(worker.id);
}

/** Whether a step needs no ticket, or has a valid one for the worker. */
export function hasRequiredTicket(
  worker: Worker,
  readyStep: ReadyStep,
  advice: StepAdvice,
  now: number,
): boolean {
  if (readyStep.policy.advice === undefined) {
    return true;
  }
  return (advice.permits.get(worker.id)?.validUntil ?? 0) > now;
}

/** Whether a task of a step is suspected to crash its workers. */
export function isSuspected(readyStep: ReadyStep, index: number): boolean {
  return isSuspectedTask(tasksOf(readyStep)[index]);
}

/** Returns all tasks of a step, as they were when the pass began. */
export function tasksOf({occurrence, stepNumber}: ReadyStep): readonly Task[] {
  return occurrence.steps[stepNumber];
}

/** Returns a step with its open tasks; undefined if none can be placed now. */
export function makeReadyStep(
  row: JobRow,
  policy: QueuePolicy,
  occurrence: Occurrence,
  stepNumber: number,
): ReadyStep | undefined {
  const step = row.job.steps[stepNumber];
  const tasks = occurrence.steps[stepNumber];
  const openTasks: number[] = [];
  tasks.forEach((task, index) => {
    if (task.phase === 'open') {
      openTasks.push(index);
    }
  });
  // A gang starts as a whole, so it waits until all its tasks are open.
  if (
    openTasks.length === 0 ||
    (step.isGang && openTasks.length < tasks.length)
  ) {
    return undefined;
  }
  const taskResources = reservedResources(step);
  return {
    row,
    policy,
    occurrence,
    stepNumber,
    step,
    openTasks,
    placedByWorker:
      step.mostOnOneWorker > 0 ? countPlacedTasks(tasks) : new Map(),
    taskResources,
    fitKey: fitKeyOf(policy, step, taskResources),
  };
}

function fitKeyOf(
  {pool, priority}: QueuePolicy,
  {requiredLabel}: Step,
  {cpuMillis, memoryMegabytes, accelerators}: Resources,
): string {
  const need = `${cpuMillis},${memoryMegabytes},${accelerators}`;
  return `${need},${priority},${requiredLabel},${pool}`;
}

/** Whether a worker is on the rack of the data, or the step has no such rack. */
export function isNearData({worker}: Candidate, {step}: ReadyStep): boolean {
  return step.dataRack === '' || worker.rack === step.dataRack;
}

/** Sum of the free shares of a worker's CPU and memory. */
export function freeShare({
  worker,
  cpuMillis,
  memoryMegabytes,
}: Candidate): number {
  const {capacity} = worker;
  return (
    cpuMillis / Math.max(1, capacity.cpuMillis) +
    memoryMegabytes / Math.max(1, capacity.memoryMegabytes)
  );
}

/** The worker chosen for a task, which its index in the step identifies. */
export interface Placement {
  readonly index: number;
  readonly candidate: Candidate;
}
