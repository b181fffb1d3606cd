import type {Update} from '@samphireramp/kernel';
import {dispatchWhenDurable, heldTerm} from '@samphireramp/holding';
import {
  MAY_COMMAND_WORKERS,
  START_RESERVED_RUN,
  type StartOrder,
  reserveRun,
} from '@samphireramp/fleet';
import {
  type RunId,
  type Task,
  findTask,
  stepKey,
  updateStepTasks,
} from '@samphireramp/jobs';
import {ADVICE, NO_ADVICE} from './adviceState';
import type {CandidateList} from './candidateList';
import {
  type Candidate,
  type Placement,
  type ReadyStep,
  tasksOf,
} from './candidates';
import {listSuspected} from './crashSuspects';
import {beginTrial} from './crashTrials';
import {
  JOBS,
  expectedRunMillis,
  expectsProgress,
  setProgress,
} from './DispatchState';
import {chooseGangPlacements} from './gangPlacement';
import {DISPATCH_EVENT, type PlacementScope} from './messages';
import type {PlacementFunctions} from './placementFunctions';
import {PlacementPass} from './PlacementPass';
import {orderReadySteps, rememberExpected, stepIdOf} from './readySteps';
import {schedulePlacement} from './schedulePlacement';
import {reachTakeOverStep} from './takeOverSteps';
import {AWAITS_STARTS} from './TaskAllowance';
import {chooseTaskPlacements} from './taskPlacement';
import {reserveForUnreadJobs} from './unreadJobs';

/** Maximum steps placed in one pass, so as not to delay other commands. */
const MAX_STEPS_PER_PASS = 64;

/**
 * Places the tasks that can be placed, the most urgent steps first. A pass over the
 * urgent steps does what a pass over all steps begins with.
 */
export function placeTasks(
  update: Update,
  self: string,
  scope: PlacementScope,
  wallNow: number,
  candidateList: CandidateList,
  {createStartQuota, expectedMillis, speedOf}: PlacementFunctions,
): void {
  if (
    heldTerm(update) === undefined ||
    !update.read(MAY_COMMAND_WORKERS).get()
  ) {
    return;
  }
  reserveForUnreadJobs(update);
  const quota = createStartQuota(update);
  const candidates = candidateList.fill(update, update.now, incarnation =>
    speedOf(update, incarnation),
  );
  const pass = new PlacementPass(update, self, quota, candidates);
  const expectedOnce = rememberExpected(expectedMillis);
  let placedSteps = 0;
  const cutSteps: ReadyStep[] = [];
  for (const readyStep of orderReadySteps(
    update,
    scope,
    wallNow,
    expectedOnce,
  )) {
    const mayPlace = pass.allowance.forStep(readyStep);
    if (placedSteps >= MAX_STEPS_PER_PASS || mayPlace === 0) {
      cutSteps.push(readyStep);
      break;
    }
    const expectRunMillis = () =>
      expectedRunMillis(
        readyStep.step,
        expectedOnce(update, readyStep.row.job, readyStep.stepNumber),
      );
    const placements = pass.gangReservations.withBackfill(
      readyStep,
      expectRunMillis,
      () => choosePlacements(pass, readyStep),
    );
    if (placements.length > 0) {
      placedSteps++;
      pass.take(readyStep, placements.length);
      placeStep(update, readyStep, placements, expectRunMillis());
    }
    const isCut = placements.length >= mayPlace;
    if (isCut && mayPlace < readyStep.openTasks.length) {
      cutSteps.push(readyStep);
    }
  }
  if (scope === 'all') {
    pass.gangReservations.record();
  }
  scheduleRest(update, pass, scope, cutSteps);
}

/** Chooses workers for the tasks of a step that can start now. */
function choosePlacements(
  pass: PlacementPass,
  readyStep: ReadyStep,
): Placement[] {
  const {update} = pass;
  if (pass.mostPlacements(readyStep) === 0) {
    // Its account is at its limit; the room is for the steps of others.
    pass.gangReservations.onOverQuota(readyStep);
    return [];
  }
  if (pass.isUnfitting(readyStep)) {
    return [];
  }
  const key = stepKey(stepIdOf(readyStep));
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  if (advice.notBefore > update.now) {
    return [];
  }
  if (advice.permits.size === 0 && advice.openRequestId !== undefined) {
    pass.addAwaited(readyStep, pass.tasksWithinQuota(readyStep));
    return [];
  }
  const placements = readyStep.step.isGang
    ? chooseGangPlacements(pass, readyStep, advice)
    : chooseTaskPlacements(pass, readyStep, advice);
  if (placements.length === 0) {
    pass.gangReservations.onUnplaced(readyStep);
  }
  return placements;
}

/** Schedules the placement of tasks that a pass left open by its limits. */
function scheduleRest(
  update: Update,
  {allowance}: PlacementPass,
  scope: PlacementScope,
  cutSteps: readonly ReadyStep[],
): void {
  if (cutSteps.some(readyStep => !allowance.awaitsStarts(readyStep))) {
    schedulePlacement(update);
  }
  const awaitsStarts = update.write(AWAITS_STARTS);
  const mayAwaitOthers = scope === 'urgent' && awaitsStarts.get();
  awaitsStarts.set(
    mayAwaitOthers || cutSteps.some(each => allowance.awaitsStarts(each)),
  );
}

/** Records the placements and orders the runs once the record is durable. */
function placeStep(
  update: Update,
  readyStep: ReadyStep,
  placements: readonly Placement[],
  runMillis: number,
): void {
  const stepId = stepIdOf(readyStep);
  const tasks = tasksOf(readyStep);
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
  const suspected = listSuspected(readyStep.step, tasks);
  for (const {index, candidate} of placements) {
    const task = findTask(progress, {...stepId, index});
    if (task !== undefined) {
      const runId = {...stepId, index, run: task.run};
      reserveAndOrderRun(update, readyStep, runId, task, candidate, runMillis);
      if (suspected.has(index)) {
        beginTrial(update, runId);
      }
    }
  }
  reachTakeOverStep(update, 'step-placed');
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
  runId: RunId,
  {checkpoint}: Task,
  {worker, speed}: Candidate,
  runMillis: number,
): void {
  const {job} = readyStep.row;
  reserveRun(update, {
    runId,
    incarnation: worker.incarnation,
    account: job.account,
    reserved: readyStep.taskResources,
    expectedMillis: runMillis / speed,
    expectsProgress: expectsProgress(readyStep.step),
  });
  const advice = update.read(ADVICE).get(stepKey(runId)) ?? NO_ADVICE;
  const order: StartOrder = {
    runId,
    incarnation: worker.incarnation,
    input: job.input,
    checkpoint,
    ticket: advice.permits.get(worker.id)?.ticket,
  };
  dispatchWhenDurable(update, START_RESERVED_RUN, order);
}
