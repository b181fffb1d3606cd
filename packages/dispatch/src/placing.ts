import type {Update} from '@samphireramp/kernel';
import {dispatchOnceDurable, heldTerm} from '@samphireramp/holding';
import {
  MAY_COMMAND_WORKERS,
  START_RUN,
  type StartOrder,
  reserveRun,
} from '@samphireramp/fleet';
import {
  type Progress,
  type StepId,
  updateStepTasks,
  stepKey,
} from '@samphireramp/jobs';
import {requestAdvice} from './adviceFlow';
import {ADVICE, NO_ADVICE, type StepAdvice} from './adviceState';
import {
  type Candidate,
  type Unit,
  fittingTasks,
  hasTicket,
  isPermitted,
  listCandidates,
  suits,
  take,
  tasksWhenEmpty,
} from './candidates';
import {JOBS, mayStall, setProgress} from './DispatchState';
import {DISPATCH_EVENT} from './messages';
import {placeSoon} from './placeSoon';
import {placeOf, unitsInOrder} from './waitingUnits';

/** Units placed in one pass before the loop turns to other things. */
const MOST_PLACED = 64;

/** The worker chosen for a task. */
interface Choice {
  readonly index: number;
  readonly candidate: Candidate;
}

/** Places what can be placed, the most urgent first. */
export function placeWork(update: Update, self: string): void {
  if (
    heldTerm(update) === undefined ||
    !update.read(MAY_COMMAND_WORKERS).get()
  ) {
    return;
  }
  const candidates = listCandidates(update, update.now);
  let placed = 0;
  for (const unit of unitsInOrder(update)) {
    if (placed >= MOST_PLACED) {
      placeSoon(update);
      return;
    }
    const place = placeOf(unit);
    const advice = update.read(ADVICE).get(stepKey(place)) ?? NO_ADVICE;
    const isUnknown =
      advice.permits.size === 0 && advice.openRequestId !== undefined;
    if (isUnknown || advice.notBefore > update.now) {
      continue;
    }
    const suitable = candidates.filter(({worker}) => suits(worker, unit));
    const choices = unit.step.isGang
      ? chooseForGang(update, self, unit, advice, suitable)
      : chooseForTasks(update, self, unit, advice, suitable);
    if (choices.length > 0) {
      placed++;
      start(update, unit, choices);
    }
  }
}

function chooseForTasks(
  update: Update,
  self: string,
  unit: Unit,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): Choice[] {
  const ready = suitable.filter(({worker}) =>
    hasTicket(worker, unit, advice, update.now),
  );
  const choices: Choice[] = [];
  for (const index of unit.open) {
    const candidate = tightest(ready, unit, choices);
    if (candidate === undefined) {
      break;
    }
    take(candidate, unit, 1);
    choices.push({index, candidate});
  }
  if (choices.length < unit.open.length) {
    askForMore(update, self, unit, advice, suitable);
  }
  return choices;
}

/** Picks the worker with the data near, then the one with least left over. */
function tightest(
  ready: readonly Candidate[],
  unit: Unit,
  choices: readonly Choice[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of ready) {
    const here = choices.filter(choice => choice.candidate === candidate);
    const limit = unit.step.mostOnOneWorker;
    const fits = fittingTasks(candidate, unit) > (limit > 0 ? here.length : 0);
    if (!fits) {
      continue;
    }
    const score = leftOver(candidate) + (isNear(candidate, unit) ? 0 : FAR);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Outweighs any amount left over. */
const FAR = 10;

function isNear({worker}: Candidate, {step}: Unit): boolean {
  return step.dataRack === '' || worker.rack === step.dataRack;
}

function leftOver({worker, cpuMillis, memoryMegabytes}: Candidate): number {
  const {capacity} = worker;
  return (
    cpuMillis / Math.max(1, capacity.cpuMillis) +
    memoryMegabytes / Math.max(1, capacity.memoryMegabytes)
  );
}

/** Asks who may run what could not be placed, where that is what it lacks. */
function askForMore(
  update: Update,
  self: string,
  unit: Unit,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): void {
  const terms = unit.policy.advice;
  if (terms === undefined) {
    return;
  }
  const isWanted = (candidate: Candidate) =>
    !advice.queriedWorkers.has(candidate.worker.id) ||
    lacksTicket(update, unit, advice, candidate);
  const hasRoom = (candidate: Candidate) => fittingTasks(candidate, unit) > 0;
  const wanted = suitable.filter(isWanted);
  // Who may run a step never changes, and a call costs little more for each
  // worker: the first call names all, full ones too.
  if (advice.queriedWorkers.size === 0 || wanted.some(hasRoom)) {
    const ids = wanted.map(({worker}) => worker.id);
    requestAdvice(update, self, placeOf(unit), terms, ids);
  }
}

/** Whether the step may run there, but only with a new ticket. */
function lacksTicket(
  update: Update,
  unit: Unit,
  advice: StepAdvice,
  {worker}: Candidate,
): boolean {
  return (
    isPermitted(worker, unit, advice) &&
    !hasTicket(worker, unit, advice, update.now)
  );
}

function chooseForGang(
  update: Update,
  self: string,
  unit: Unit,
  advice: StepAdvice,
  suitable: readonly Candidate[],
): Choice[] {
  const permitted = suitable.filter(({worker}) =>
    isPermitted(worker, unit, advice),
  );
  const ready = permitted.filter(({worker}) =>
    hasTicket(worker, unit, advice, update.now),
  );
  const choices = spread(ready, unit);
  if (choices !== undefined) {
    takeAll(unit, choices);
    return choices;
  }
  const later = spread(permitted, unit);
  if (later !== undefined) {
    // Room is there, only tickets are missing: it is kept until they come.
    askForMore(update, self, unit, advice, permitted);
    takeAll(unit, later);
    return [];
  }
  if (wouldFitEmpty(permitted, unit)) {
    // Others may have room sooner, if only these were there to be asked about.
    const others = suitable.filter(
      ({worker}) => !advice.queriedWorkers.has(worker.id),
    );
    askForMore(update, self, unit, advice, others);
    // Room that is free now waits for the rest, so that the gang's turn comes.
    for (const candidate of permitted) {
      take(candidate, unit, fittingTasks(candidate, unit));
    }
  } else {
    askForMore(update, self, unit, advice, suitable);
  }
  return [];
}

function takeAll(unit: Unit, choices: readonly Choice[]): void {
  for (const {candidate} of choices) {
    take(candidate, unit, 1);
  }
}

function wouldFitEmpty(permitted: readonly Candidate[], unit: Unit): boolean {
  let room = 0;
  for (const {worker} of permitted) {
    room += tasksWhenEmpty(worker, unit);
  }
  return room >= unit.open.length;
}

/** Finds workers for all tasks of a gang at once; undefined if there are none. */
function spread(
  candidates: readonly Candidate[],
  unit: Unit,
): Choice[] | undefined {
  if (unit.step.prefersOneRack) {
    const onOneRack = spreadOnOneRack(candidates, unit);
    if (onOneRack !== undefined) {
      return onOneRack;
    }
  }
  return spreadOver(candidates, unit);
}

function spreadOnOneRack(
  candidates: readonly Candidate[],
  unit: Unit,
): Choice[] | undefined {
  const racks = new Set(candidates.map(({worker}) => worker.rack));
  for (const rack of racks) {
    const choices = spreadOver(
      candidates.filter(({worker}) => worker.rack === rack),
      unit,
    );
    if (choices !== undefined) {
      return choices;
    }
  }
  return undefined;
}

function spreadOver(
  candidates: readonly Candidate[],
  unit: Unit,
): Choice[] | undefined {
  const fits = candidates
    .map(candidate => ({candidate, tasks: fittingTasks(candidate, unit)}))
    .filter(({tasks}) => tasks > 0)
    .sort(
      (a, b) =>
        Number(isNear(b.candidate, unit)) - Number(isNear(a.candidate, unit)) ||
        b.tasks - a.tasks ||
        leftOver(a.candidate) - leftOver(b.candidate),
    );
  const choices: Choice[] = [];
  for (const {candidate, tasks} of fits) {
    for (let task = 0; task < tasks; task++) {
      if (choices.length === unit.open.length) {
        return choices;
      }
      choices.push({index: unit.open[choices.length], candidate});
    }
  }
  return choices.length === unit.open.length ? choices : undefined;
}

/** Reserves the room, and has the runs ordered once that is durable. */
function start(update: Update, unit: Unit, choices: readonly Choice[]): void {
  const place = placeOf(unit);
  const {occurrence, stepNumber} = unit;
  const tasks = occurrence.steps[stepNumber];
  // Another step of the job may have been placed in this same pass.
  const row = update.read(JOBS).get(place.jobId) ?? unit.row;
  const lifeByIndex = new Map(
    choices.map(({index, candidate}) => [index, candidate.worker.incarnation]),
  );
  const gangRun = 1 + Math.max(...tasks.map(task => task.run));
  const changed = updateStepTasks(row.progress, place, (task, index) => {
    const worker = lifeByIndex.get(index);
    const run = unit.step.isGang ? gangRun : task.run + 1;
    return worker === undefined
      ? task
      : {...task, phase: 'placed', run, worker};
  });
  const progress: Progress = {...changed, state: 'running'};
  setProgress(update, row, progress);
  for (const {index, candidate} of choices) {
    reserve(update, unit, place, index, candidate, progress);
  }
  update.emit(DISPATCH_EVENT, {
    event: 'step-placed',
    subject: stepKey(place),
    queue: unit.policy.name,
    detail: `${choices.length} of ${unit.open.length} tasks`,
    worker: [...new Set(lifeByIndex.values())].join(','),
  });
}

function reserve(
  update: Update,
  unit: Unit,
  step: StepId,
  index: number,
  {worker}: Candidate,
  progress: Progress,
): void {
  const {job} = unit.row;
  const task = progress.occurrences.find(
    ({number}) => number === step.occurrence,
  )?.steps[step.step][index];
  if (task === undefined) {
    return;
  }
  const place = {...step, index, run: task.run};
  reserveRun(update, place, worker.incarnation, unit.need, mayStall(unit.step));
  const advice = update.read(ADVICE).get(stepKey(step)) ?? NO_ADVICE;
  const order: StartOrder = {
    runId: place,
    incarnation: worker.incarnation,
    input: job.input,
    checkpoint: task.checkpoint,
    ticket: advice.permits.get(worker.id)?.ticket,
  };
  dispatchOnceDurable(update, START_RUN, order);
}
