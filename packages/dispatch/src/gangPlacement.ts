import {workersOfOpenRequest} from './adviceFlow';
import {requestMoreAdvice, spreadOver} from './adviceNeeds';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  countFittingTasks,
  deductTasks,
  freeShare,
  hasRequiredTicket,
  isNearData,
  tasksOf,
} from './candidates';
import {listSuspected} from './crashSuspects';
import {expectedFitOf} from './expectedFits';
import {planChosen, planGang} from './gangPlan';
import type {PlacementPass} from './PlacementPass';
import {SPEED_CLASSES_FROM_FAST, speedClassOf} from './speedClasses';

/** Chooses workers for all tasks of a gang, or reserves free resources for it. */
export function chooseGangPlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
): Placement[] {
  const {update} = pass;
  const suitable = pass.suitableFor(readyStep);
  const permitted = pass.permittedFor(readyStep, advice);
  const startable = permitted.filter(({worker}) =>
    hasRequiredTicket(worker, readyStep, advice, update.now),
  );
  const placements = packGang(startable, readyStep);
  if (placements !== undefined) {
    const isOnTrial =
      listSuspected(readyStep.step, tasksOf(readyStep)).size > 0;
    for (const {candidate} of placements) {
      deductTasks(candidate, readyStep, 1);
      candidate.isClosed ||= isOnTrial;
    }
    return placements;
  }
  const tasks = readyStep.openTasks.length;
  const withTicket = new Set([
    ...startable.map(({worker}) => worker.id),
    ...workersOfOpenRequest(update, advice),
  ]);
  const chosen = packGang(permitted, readyStep, withTicket);
  if (chosen !== undefined) {
    // The gang fits but lacks tickets: its resources are reserved until they come.
    const chosenWorkers = new Set(chosen.map(({candidate}) => candidate));
    const spares = permitted.filter(each => !chosenWorkers.has(each));
    requestMoreAdvice(pass, readyStep, advice, tasks, () => [
      ...chosenWorkers,
      ...spares,
    ]);
    pass.gangReservations.reserveRoom(readyStep, () =>
      planChosen(chosen, update.now),
    );
    return [];
  }
  // Workers not asked about yet may have free resources sooner: without them the
  // gang would wait for busy workers while others are free.
  const hasUnasked = suitable.some(
    candidate =>
      !advice.queriedWorkers.has(candidate.worker.id) &&
      countFittingTasks(candidate, readyStep) > 0,
  );
  if (hasUnasked || advice.queriedWorkers.size === 0) {
    requestMoreAdvice(pass, readyStep, advice, tasks, () =>
      rankForGang(spreadOver(suitable, readyStep), readyStep),
    );
  }
  // Otherwise other steps could take the resources that are free now again and again.
  pass.gangReservations.reserveRoom(readyStep, () =>
    planGang(permitted, readyStep, () =>
      expectedFitOf(update, permitted, readyStep),
    ),
  );
  return [];
}

/**
 * Finds workers for all tasks of a gang, first those in `preferredIds`; undefined
 * if the tasks don't all fit. A gang runs as long as on its slowest worker, so the
 * slowest are used only if it doesn't fit on the others.
 */
export function packGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  preferredIds: ReadonlySet<string> = new Set(),
): Placement[] | undefined {
  if (!isRoomForAll(candidates, readyStep)) {
    return undefined;
  }
  const ranked = rankForGang(candidates, readyStep, preferredIds);
  if (readyStep.step.prefersOneRack) {
    const onOneRack = packOnOneRack(ranked, readyStep);
    if (onOneRack !== undefined) {
      return onOneRack;
    }
  }
  for (const leastClass of SPEED_CLASSES_FROM_FAST) {
    const placements = packInOrder(
      ranked.filter(
        candidate =>
          speedClassOf(candidate) >= leastClass ||
          preferredIds.has(candidate.worker.id),
      ),
      readyStep,
    );
    if (placements !== undefined) {
      return placements;
    }
  }
  return undefined;
}

/** Whether the open tasks of a step fit, on whichever workers. */
function isRoomForAll(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): boolean {
  let tasksLeft = readyStep.openTasks.length;
  for (const candidate of candidates) {
    tasksLeft -= countFittingTasks(candidate, readyStep);
    if (tasksLeft <= 0) {
      return true;
    }
  }
  return false;
}

function packOnOneRack(
  ranked: readonly Candidate[],
  readyStep: ReadyStep,
): Placement[] | undefined {
  const racks = new Set(ranked.map(({worker}) => worker.rack));
  for (const rack of racks) {
    const placements = packInOrder(
      ranked.filter(({worker}) => worker.rack === rack),
      readyStep,
    );
    if (placements !== undefined) {
      return placements;
    }
  }
  return undefined;
}

/**
 * Sorts the workers on which a task fits: near the data first, then the preferred
 * ones, then the faster ones, then those that fit the most tasks. The others follow.
 */
function rankForGang(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
  preferredIds: ReadonlySet<string> = new Set(),
): Candidate[] {
  return candidates
    .map(candidate => ({
      candidate,
      tasks: countFittingTasks(candidate, readyStep),
      isNear: Number(isNearData(candidate, readyStep)),
      isPreferred: Number(preferredIds.has(candidate.worker.id)),
      speedClass: speedClassOf(candidate),
    }))
    .sort(
      (a, b) =>
        Number(b.tasks > 0) - Number(a.tasks > 0) ||
        b.isNear - a.isNear ||
        b.isPreferred - a.isPreferred ||
        b.speedClass - a.speedClass ||
        b.tasks - a.tasks ||
        freeShare(a.candidate) - freeShare(b.candidate),
    )
    .map(({candidate}) => candidate);
}

/** Fills workers in order; undefined if not all tasks of the step fit. */
function packInOrder(
  ranked: readonly Candidate[],
  readyStep: ReadyStep,
): Placement[] | undefined {
  const {openTasks} = readyStep;
  const placements: Placement[] = [];
  for (const candidate of ranked) {
    const tasks = countFittingTasks(candidate, readyStep);
    for (let task = 0; task < tasks; task++) {
      if (placements.length === openTasks.length) {
        return placements;
      }
      placements.push({index: openTasks[placements.length], candidate});
    }
  }
  return placements.length === openTasks.length ? placements : undefined;
}
