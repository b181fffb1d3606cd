import type {Update} from '@samphireramp/kernel';
import {stepKey} from '@samphireramp/jobs';
import {requestMoreAdvice} from './adviceNeeds';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  countTasksOnEmptyWorker,
  deductTasks,
  freeShare,
  hasRequiredTicket,
  isNearData,
  isPermitted,
} from './candidates';
import {stepIdOf} from './readySteps';
import type {Reservation} from './reservations';

/** Chooses workers for all tasks of a gang, or keeps free resources for it. */
export function chooseGangPlacements(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
  reservations: Reservation[],
): Placement[] {
  const permitted = suitable.filter(({worker}) =>
    isPermitted(worker, readyStep, advice),
  );
  const startable = permitted.filter(({worker}) =>
    hasRequiredTicket(worker, readyStep, advice, update.now),
  );
  const placements = packGang(startable, readyStep);
  if (placements !== undefined) {
    deductPlacements(readyStep, placements);
    return placements;
  }
  const placementsWithoutTickets = packGang(permitted, readyStep);
  if (placementsWithoutTickets !== undefined) {
    // The gang fits but lacks tickets: its resources are kept until they come.
    requestMoreAdvice(update, self, readyStep, advice, permitted);
    for (const {candidate} of placementsWithoutTickets) {
      reserveTasks(reservations, candidate, readyStep, 1);
    }
    return [];
  }
  if (wouldFitOnEmptyWorkers(permitted, readyStep)) {
    // Workers not asked about yet may have free resources sooner: without this
    // the gang would wait for busy workers while others are free.
    const others = suitable.filter(
      ({worker}) => !advice.queriedWorkers.has(worker.id),
    );
    requestMoreAdvice(update, self, readyStep, advice, others);
    // Resources that are free now are kept for the gang until the rest is free
    // too. Otherwise other steps could take them again and again.
    for (const candidate of permitted) {
      const tasks = countFittingTasks(candidate, readyStep);
      reserveTasks(reservations, candidate, readyStep, tasks);
    }
  } else {
    requestMoreAdvice(update, self, readyStep, advice, suitable);
  }
  return [];
}

/** Keeps resources on a worker from the steps behind in the pass. */
function reserveTasks(
  reservations: Reservation[],
  candidate: Candidate,
  readyStep: ReadyStep,
  tasks: number,
): void {
  if (tasks > 0) {
    deductTasks(candidate, readyStep, tasks);
    reservations.push({
      step: stepKey(stepIdOf(readyStep)),
      incarnation: candidate.worker.incarnation,
      tasks,
      taskResources: readyStep.taskResources,
    });
  }
}

function deductPlacements(
  readyStep: ReadyStep,
  placements: readonly Placement[],
): void {
  for (const {candidate} of placements) {
    deductTasks(candidate, readyStep, 1);
  }
}

function wouldFitOnEmptyWorkers(
  permitted: readonly Candidate[],
  readyStep: ReadyStep,
): boolean {
  let taskCount = 0;
  for (const {worker} of permitted) {
    taskCount += countTasksOnEmptyWorker(worker, readyStep);
  }
  return taskCount >= readyStep.openTasks.length;
}

/** Finds workers for all tasks of a gang; undefined if they don't all fit. */
function packGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): Placement[] | undefined {
  if (readyStep.step.prefersOneRack) {
    const onOneRack = packGangOnOneRack(candidates, readyStep);
    if (onOneRack !== undefined) {
      return onOneRack;
    }
  }
  return packTasks(candidates, readyStep);
}

function packGangOnOneRack(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): Placement[] | undefined {
  const racks = new Set(candidates.map(({worker}) => worker.rack));
  for (const rack of racks) {
    const placements = packTasks(
      candidates.filter(({worker}) => worker.rack === rack),
      readyStep,
    );
    if (placements !== undefined) {
      return placements;
    }
  }
  return undefined;
}

/**
 * Fills the workers near the data first, then those that fit the most tasks;
 * undefined if not all tasks of the step fit.
 */
function packTasks(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): Placement[] | undefined {
  const fitting = candidates
    .map(candidate => ({
      candidate,
      tasks: countFittingTasks(candidate, readyStep),
    }))
    .filter(({tasks}) => tasks > 0)
    .sort(
      (a, b) =>
        Number(isNearData(b.candidate, readyStep)) -
          Number(isNearData(a.candidate, readyStep)) ||
        b.tasks - a.tasks ||
        freeShare(a.candidate) - freeShare(b.candidate),
    );
  const placements: Placement[] = [];
  for (const {candidate, tasks} of fitting) {
    for (let task = 0; task < tasks; task++) {
      if (placements.length === readyStep.openTasks.length) {
        return placements;
      }
      placements.push({
        index: readyStep.openTasks[placements.length],
        candidate,
      });
    }
  }
  return placements.length === readyStep.openTasks.length
    ? placements
    : undefined;
}
