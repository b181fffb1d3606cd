import {type AdviceTerms, stepKey} from '@samphireramp/jobs';
import {permitShareOf, requestAdvice} from './adviceFlow';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  isPermitted,
} from './candidates';
import type {PlacementPass} from './PlacementPass';
import {stepIdOf} from './readySteps';

/**
 * A request names workers with room for this many times the tasks: other steps
 * may take some of it before the answer arrives.
 */
const SPARE_FACTOR = 1.5;
/**
 * A request names further workers as long as these make it longer by this share
 * of its fixed duration at most.
 */
const CHEAP_EXTENSION_SHARE = 0.5;
/** Lower bound of the time that a named worker adds, which may be given as 0. */
const MIN_PER_WORKER_MILLIS = 0.001;

/**
 * Requests advice on the workers that a step is expected to need, in the order of
 * the list: enough that its open tasks, but for those with a valid ticket, fit on
 * those that are likely to be permitted.
 */
export function requestMoreAdvice(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
  tasks: number,
  rankWorkers: () => readonly Candidate[],
): void {
  const {policy} = readyStep;
  if (policy.advice === undefined) {
    return;
  }
  const isOpen = advice.openRequestId !== undefined;
  const mayRequest = !isOpen && pass.mayRequestAdvice(readyStep, policy.advice);
  const ids = mayRequest
    ? chooseWorkersToName(
        pass,
        readyStep,
        advice,
        policy.advice,
        rankWorkers,
        tasks,
      )
    : [];
  const isRequested =
    ids.length > 0 &&
    requestAdvice(
      pass.update,
      pass.nearestHosts(),
      stepIdOf(readyStep),
      policy.name,
      policy.advice,
      ids,
    );
  if (isOpen || isRequested) {
    pass.addAwaited(readyStep, tasks);
  }
}

function chooseWorkersToName(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
  terms: AdviceTerms,
  rankWorkers: () => readonly Candidate[],
  tasks: number,
): string[] {
  const {update} = pass;
  const isFirst = advice.queriedWorkers.size === 0;
  if (!isFirst && !isAnyNameable(pass, readyStep, advice)) {
    return [];
  }
  const permitShare = permitShareOf(update, readyStep.policy.name);
  const cheapCount = countCheapWorkers(terms);
  const answerAt =
    update.now + terms.decisionMillis + terms.perWorkerMillis * cheapCount;
  const named: string[] = [];
  const spares: string[] = [];
  let expectedTasks = 0;
  for (const candidate of rankWorkers()) {
    const {id} = candidate.worker;
    const isKnown = isPermitted(candidate.worker, readyStep, advice);
    if (!isKnown && advice.queriedWorkers.has(id)) {
      continue;
    }
    const fitting = countFittingTasks(candidate, readyStep);
    const hasLastingTicket =
      (advice.permits.get(id)?.validUntil ?? 0) > answerAt;
    if (hasLastingTicket) {
      expectedTasks += fitting;
    } else if (fitting > 0 && expectedTasks < tasks * SPARE_FACTOR) {
      named.push(id);
      expectedTasks += fitting * (isKnown ? 1 : permitShare);
    } else {
      spares.push(id);
    }
  }
  if (named.length === 0 && !isFirst) {
    return [];
  }
  const spareCount = Math.max(0, cheapCount - named.length);
  return [...named, ...spares.slice(0, spareCount)];
}

/** Whether a worker with room was not asked about, or has a permit. */
function isAnyNameable(
  pass: PlacementPass,
  readyStep: ReadyStep,
  advice: StepAdvice,
): boolean {
  return pass
    .withRoomFor(readyStep)
    .some(
      ({worker}) =>
        !advice.queriedWorkers.has(worker.id) ||
        isPermitted(worker, readyStep, advice),
    );
}

/** Number of workers that lengthen a request by little. */
function countCheapWorkers(terms: AdviceTerms): number {
  return Math.ceil(
    (terms.decisionMillis * CHEAP_EXTENSION_SHARE) /
      Math.max(MIN_PER_WORKER_MILLIS, terms.perWorkerMillis),
  );
}

/**
 * Returns the workers in an order that differs from step to step, so that steps
 * that wait at the same time don't all ask about the same ones.
 */
export function spreadOver(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): Candidate[] {
  const start = hashOf(stepKey(stepIdOf(readyStep))) % candidates.length;
  return [...candidates.slice(start), ...candidates.slice(0, start)];
}

/** FNV-1a hash of a text, as an unsigned 32-bit integer. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
