import {type Worker, WORKERS, freeResources} from '@samphireramp/fleet';
import {
  type Resources,
  type Occurrence,
  type QueuePolicy,
  type Step,
  reservedResources,
} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import type {JobRow} from './DispatchState';
import type {StepAdvice} from './adviceState';

/** Part of each worker that only the most urgent work may take. */
const URGENT_SHARE = 0.1;
/** The priority of the most urgent work. */
const URGENT_PRIORITY = 0;

/** A worker in a pass of placing; its room shrinks as the pass takes it. */
export interface Candidate {
  readonly worker: Worker;
  cpuMillis: number;
  memoryMegabytes: number;
  accelerators: number;
}

/** A step with tasks that may run now. */
export interface Unit {
  readonly row: JobRow;
  readonly policy: QueuePolicy;
  readonly occurrence: Occurrence;
  readonly stepNumber: number;
  readonly step: Step;
  /** Indices of its open tasks. */
  readonly open: readonly number[];
  readonly need: Resources;
}

/** Workers that may get new work now, with the room that they have left. */
export function listCandidates(state: StateReader, now: number): Candidate[] {
  const candidates: Candidate[] = [];
  for (const worker of state.read(WORKERS).values()) {
    if (isUsable(worker, now)) {
      candidates.push({worker, ...freeResources(state, worker)});
    }
  }
  return candidates;
}

function isUsable(worker: Worker, now: number): boolean {
  return (
    worker.isRegistered &&
    worker.hasReported &&
    !worker.isDraining &&
    !worker.isSilent &&
    now >= worker.avoidedUntil
  );
}

/** Whether the worker is one that the step may run on, advice aside. */
export function suits(worker: Worker, unit: Unit): boolean {
  const {step, policy} = unit;
  return (
    worker.pool === policy.pool &&
    (step.requiredLabel === '' || worker.labels.includes(step.requiredLabel))
  );
}

/** How many tasks of a unit fit on a worker now. */
export function fittingTasks(candidate: Candidate, unit: Unit): number {
  const {need, step, policy} = unit;
  const {capacity} = candidate.worker;
  let cpu = candidate.cpuMillis;
  let memory = candidate.memoryMegabytes;
  if (policy.priority !== URGENT_PRIORITY) {
    cpu -= keptForUrgent(capacity.cpuMillis, need.cpuMillis);
    memory -= keptForUrgent(capacity.memoryMegabytes, need.memoryMegabytes);
  }
  const byRoom = Math.min(
    times(cpu, need.cpuMillis),
    times(memory, need.memoryMegabytes),
    times(candidate.accelerators, need.accelerators),
  );
  const byLimit =
    step.mostOnOneWorker === 0
      ? Infinity
      : step.mostOnOneWorker - tasksOn(unit, candidate.worker.incarnation);
  return Math.max(0, Math.min(byRoom, byLimit, unit.open.length));
}

/** What of an amount is kept free, unless the task needs nearly all of it. */
function keptForUrgent(amount: number, needed: number): number {
  const share = amount * URGENT_SHARE;
  return needed > amount - share ? 0 : share;
}

/** How many tasks of a unit an empty worker has room for. */
export function tasksWhenEmpty(worker: Worker, unit: Unit): number {
  return fittingTasks({worker, ...worker.capacity}, unit);
}

function times(left: number, need: number): number {
  return need <= 0 ? Infinity : Math.floor(left / need);
}

function tasksOn(unit: Unit, life: string): number {
  return unit.occurrence.steps[unit.stepNumber].filter(
    task => task.phase === 'placed' && task.worker === life,
  ).length;
}

/** Takes room of a worker for the rest of the pass. */
export function take(candidate: Candidate, unit: Unit, tasks: number): void {
  candidate.cpuMillis -= unit.need.cpuMillis * tasks;
  candidate.memoryMegabytes -= unit.need.memoryMegabytes * tasks;
  candidate.accelerators -= unit.need.accelerators * tasks;
}

/** Whether the adviser lets a worker run the step, ticket in hand or not. */
export function isPermitted(
  worker: Worker,
  unit: Unit,
  advice: StepAdvice,
): boolean {
  return unit.policy.advice === undefined || advice.permits.has(worker.id);
}

/** Whether a start on the worker would be let through now. */
export function hasTicket(
  worker: Worker,
  unit: Unit,
  advice: StepAdvice,
  now: number,
): boolean {
  if (unit.policy.advice === undefined) {
    return true;
  }
  return (advice.permits.get(worker.id)?.validUntil ?? 0) > now;
}

/** Makes the unit of a step; undefined if none of it may start now. */
export function makeUnit(
  row: JobRow,
  policy: QueuePolicy,
  occurrence: Occurrence,
  stepNumber: number,
): Unit | undefined {
  const step = row.job.steps[stepNumber];
  const tasks = occurrence.steps[stepNumber];
  const open: number[] = [];
  tasks.forEach((task, index) => {
    if (task.phase === 'open') {
      open.push(index);
    }
  });
  // Members of a gang start together, so none may be left of an earlier run.
  if (open.length === 0 || (step.isGang && open.length < tasks.length)) {
    return undefined;
  }
  const need = reservedResources(step);
  return {row, policy, occurrence, stepNumber, step, open, need};
}
