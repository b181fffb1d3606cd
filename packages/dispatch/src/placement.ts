import type {Update} from '@samphireramp/kernel';
import {dispatchWhenDurable, heldTerm} from '@samphireramp/holding';
import {
  MAY_COMMAND_WORKERS,
  START_RESERVED_RUN,
  type StartOrder,
  reserveRun,
} from '@samphireramp/fleet';
import {
  type Progress,
  type StepId,
  stepKey,
  updateStepTasks,
} from '@samphireramp/jobs';
import {requestAdvice} from './adviceFlow';
import {ADVICE, NO_ADVICE, type StepAdvice} from './adviceState';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  countTasksOnEmptyWorker,
  deductTasks,
  hasRequiredTicket,
  isPermitted,
  listCandidates,
  meetsRequirements,
} from './candidates';
import {JOBS, expectsProgress, setProgress} from './DispatchState';
import {DISPATCH_EVENT} from './messages';
import {listReadySteps, stepIdOf} from './readySteps';
import {schedulePlacement} from './schedulePlacement';

/** Maximum steps placed in one pass, so as not to delay other commands. */
const MAX_STEPS_PER_PASS = 64;

/** The worker chosen for a task, which its index in the step identifies. */
interface Placement {
  readonly index: number;
  readonly candidate: Candidate;
}

/** Places the tasks that can be placed, the most urgent steps first. */
export function placeTasks(update: Update, self: string): void {
  if (
    heldTerm(update) === undefined ||
    !update.read(MAY_COMMAND_WORKERS).get()
  ) {
    return;
  }
  const candidates = listCandidates(update, update.now);
  let placedSteps = 0;
  for (const readyStep of listReadySteps(update)) {
    if (placedSteps >= MAX_STEPS_PER_PASS) {
      schedulePlacement(update);
      return;
    }
    const stepId = stepIdOf(readyStep);
    const advice = update.read(ADVICE).get(stepKey(stepId)) ?? NO_ADVICE;
    const isAwaitingAdvice =
      advice.permits.size === 0 && advice.openRequestId !== undefined;
    if (isAwaitingAdvice || advice.notBefore > update.now) {
      continue;
    }
    const suitable = candidates.filter(({worker}) =>
      meetsRequirements(worker, readyStep),
    );
    const placements = readyStep.step.isGang
      ? chooseGangPlacements(update, self, readyStep, advice, suitable)
      : chooseTaskPlacements(update, self, readyStep, advice, suitable);
    if (placements.length > 0) {
      placedSteps++;
      placeStep(update, readyStep, placements);
    }
  }
}

/** Chooses workers for the tasks of a step, one by one until none fits. */
function chooseTaskPlacements(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): Placement[] {
  const startable = suitable.filter(({worker}) =>
    hasRequiredTicket(worker, readyStep, advice, update.now),
  );
  const placements: Placement[] = [];
  for (const index of readyStep.openTasks) {
    const candidate = chooseBestFit(startable, readyStep, placements);
    if (candidate === undefined) {
      break;
    }
    deductTasks(candidate, readyStep, 1);
    placements.push({index, candidate});
  }
  if (placements.length < readyStep.openTasks.length) {
    requestMoreAdvice(update, self, readyStep, advice, suitable);
  }
  return placements;
}

/** Chooses a worker near the data if one fits, then the least free one. */
function chooseBestFit(
  startable: readonly Candidate[],
  readyStep: ReadyStep,
  placements: readonly Placement[],
): Candidate | undefined {
  let bestCandidate: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of startable) {
    const onCandidate = placements.filter(
      placement => placement.candidate === candidate,
    );
    // Free resources exclude these placements already, the limit doesn't.
    const limit = readyStep.step.mostOnOneWorker;
    const fits =
      countFittingTasks(candidate, readyStep) >
      (limit > 0 ? onCandidate.length : 0);
    if (!fits) {
      continue;
    }
    const score =
      freeShare(candidate) +
      (isNearData(candidate, readyStep) ? 0 : REMOTE_DATA_PENALTY);
    if (score < bestScore) {
      bestCandidate = candidate;
      bestScore = score;
    }
  }
  return bestCandidate;
}

/** Added to the score on a rack without the data; exceeds any free share. */
const REMOTE_DATA_PENALTY = 10;

function isNearData({worker}: Candidate, {step}: ReadyStep): boolean {
  return step.dataRack === '' || worker.rack === step.dataRack;
}

/** Sum of the free shares of a worker's CPU and memory. */
function freeShare({worker, cpuMillis, memoryMegabytes}: Candidate): number {
  const {capacity} = worker;
  return (
    cpuMillis / Math.max(1, capacity.cpuMillis) +
    memoryMegabytes / Math.max(1, capacity.memoryMegabytes)
  );
}

/** Requests advice on workers for which the step lacks it or a valid ticket. */
function requestMoreAdvice(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): void {
  const terms = readyStep.policy.advice;
  if (terms === undefined) {
    return;
  }
  const needsAdvice = (candidate: Candidate) =>
    !advice.queriedWorkers.has(candidate.worker.id) ||
    needsNewTicket(update, readyStep, advice, candidate);
  const hasResources = (candidate: Candidate) =>
    countFittingTasks(candidate, readyStep) > 0;
  const unadvised = suitable.filter(needsAdvice);
  // Whether a worker may run a step never changes, and each further worker adds
  // little to the time of a request: the first one includes full workers too.
  if (advice.queriedWorkers.size === 0 || unadvised.some(hasResources)) {
    const ids = unadvised.map(({worker}) => worker.id);
    requestAdvice(update, self, stepIdOf(readyStep), terms, ids);
  }
}

/** Whether a step is permitted on a worker, but has no valid ticket for it. */
function needsNewTicket(
  update: Update,
  readyStep: ReadyStep,
  advice: StepAdvice,
  {worker}: Candidate,
): boolean {
  return (
    isPermitted(worker, readyStep, advice) &&
    !hasRequiredTicket(worker, readyStep, advice, update.now)
  );
}

/** Chooses workers for all tasks of a gang, or keeps free resources for it. */
function chooseGangPlacements(
  update: Update,
  self: string,
  readyStep: ReadyStep,
  advice: StepAdvice,
  suitable: readonly Candidate[],
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
    deductPlacements(readyStep, placementsWithoutTickets);
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
      deductTasks(
        candidate,
        readyStep,
        countFittingTasks(candidate, readyStep),
      );
    }
  } else {
    requestMoreAdvice(update, self, readyStep, advice, suitable);
  }
  return [];
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

/** Records the placements and orders the runs once the record is durable. */
function placeStep(
  update: Update,
  readyStep: ReadyStep,
  placements: readonly Placement[],
): void {
  const stepId = stepIdOf(readyStep);
  const {occurrence, stepNumber} = readyStep;
  const tasks = occurrence.steps[stepNumber];
  // An earlier step of this pass may have changed the progress of the job.
  const row = update.read(JOBS).get(stepId.jobId) ?? readyStep.row;
  const incarnationByIndex = new Map(
    placements.map(({index, candidate}) => [
      index,
      candidate.worker.incarnation,
    ]),
  );
  // Tasks of a gang share one run number, so that a failed run counts once.
  const gangRun = 1 + Math.max(...tasks.map(task => task.run));
  const progress = updateStepTasks(row.progress, stepId, (task, index) => {
    const worker = incarnationByIndex.get(index);
    const run = readyStep.step.isGang ? gangRun : task.run + 1;
    return worker === undefined
      ? task
      : {...task, phase: 'placed', run, worker};
  });
  setProgress(update, row, progress);
  for (const {index, candidate} of placements) {
    reserveAndOrderRun(update, readyStep, stepId, index, candidate, progress);
  }
  update.emit(DISPATCH_EVENT, {
    event: 'step-placed',
    subject: stepKey(stepId),
    queue: readyStep.policy.name,
    detail: `${placements.length} of ${readyStep.openTasks.length} tasks`,
    worker: [...new Set(incarnationByIndex.values())].join(','),
  });
}

/** Reserves resources for a run; it starts once its record is durable. */
function reserveAndOrderRun(
  update: Update,
  readyStep: ReadyStep,
  stepId: StepId,
  index: number,
  {worker}: Candidate,
  progress: Progress,
): void {
  const {job} = readyStep.row;
  const task = progress.occurrences.find(
    ({number}) => number === stepId.occurrence,
  )?.steps[stepId.step][index];
  if (task === undefined) {
    return;
  }
  const runId = {...stepId, index, run: task.run};
  reserveRun(
    update,
    runId,
    worker.incarnation,
    readyStep.taskResources,
    expectsProgress(readyStep.step),
  );
  const advice = update.read(ADVICE).get(stepKey(stepId)) ?? NO_ADVICE;
  const order: StartOrder = {
    runId,
    incarnation: worker.incarnation,
    input: job.input,
    checkpoint: task.checkpoint,
    ticket: advice.permits.get(worker.id)?.ticket,
  };
  dispatchWhenDurable(update, START_RESERVED_RUN, order);
}
