import {
  type PayloadOf,
  type StateReader,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {type AdviceTerms, type StepId, stepKey} from '@samphireramp/jobs';
import {ADVICE, NO_ADVICE, type StepAdvice} from './adviceState';
import {addCall, chooseHost, removeCall} from './adviserCalls';
import {
  ADVICE_RECEIVED,
  DISPATCH_EVENT,
  type Permit,
  REQUEST_ADVICE,
} from './messages';
import {schedulePlacement} from './schedulePlacement';
import {reachTakeOverStep} from './takeOverSteps';

/** The share of permitted workers counts as this at least. */
const MIN_PERMIT_SHARE = 0.05;
/** Maximum number of workers in one request. */
export const MAX_WORKERS_PER_REQUEST = 100;
/** Part of a request's timeout that doesn't depend on its expected duration. */
const RESPONSE_MARGIN_MILLIS = 900;
/** A ticket isn't used this close to its expiry: starting a run takes time. */
const TICKET_MARGIN_MILLIS = 150;

interface OpenAdviceRequest {
  readonly step: StepId;
  /** Name of the step's queue. */
  readonly queue: string;
  readonly host: string;
  readonly workerIds: readonly string[];
  readonly sentAt: number;
}

/** Requests for advice without an answer, by request id. */
export const OPEN_ADVICE_REQUESTS =
  createTableSlice<OpenAdviceRequest>('open-asks');

/** Number of requests for advice so far, which is the id of the latest one. */
export const ADVICE_REQUEST_COUNT = createValueSlice('ask-count', 0);

/** Permits among the workers that were asked about for the first time. */
interface PermitCounts {
  readonly queried: number;
  readonly permitted: number;
}

/** What is assumed of a queue before the first answer. */
const INITIAL_PERMIT_COUNTS: PermitCounts = {queried: 20, permitted: 10};
/** Counts beyond this are halved, so that later answers count more. */
const MAX_PERMIT_COUNT = 4000;

/** Counts of permits by queue name. */
export const PERMIT_COUNTS = createTableSlice<PermitCounts>('permit-counts');

/** Returns the share of the workers that steps of a queue are permitted on. */
export function permitShareOf(state: StateReader, queue: string): number {
  const {queried, permitted} =
    state.read(PERMIT_COUNTS).get(queue) ?? INITIAL_PERMIT_COUNTS;
  return Math.max(MIN_PERMIT_SHARE, permitted / queried);
}

/** Returns the ids of the workers named in the open request of a step. */
export function workersOfOpenRequest(
  state: StateReader,
  {openRequestId}: StepAdvice,
): readonly string[] {
  return openRequestId === undefined
    ? []
    : (state.read(OPEN_ADVICE_REQUESTS).get(openRequestId)?.workerIds ?? []);
}

function countPermits(
  update: Update,
  queue: string,
  previous: StepAdvice,
  workerIds: readonly string[],
  permits: readonly Permit[],
): void {
  const counts = update.write(PERMIT_COUNTS);
  const before = counts.get(queue) ?? INITIAL_PERMIT_COUNTS;
  const factor = before.queried > MAX_PERMIT_COUNT ? 0.5 : 1;
  const isNew = (id: string) => !previous.queriedWorkers.has(id);
  const permitted = permits.filter(({workerId}) => isNew(workerId)).length;
  counts.set(queue, {
    queried: before.queried * factor + workerIds.filter(isNew).length,
    permitted: before.permitted * factor + permitted,
  });
}

/**
 * Requests advice on workers for a step, unless a request for it is open or no
 * host can take the call now. `hosts` are this one, then the others, the nearest first.
 * Returns whether it was sent.
 */
export function requestAdvice(
  update: Update,
  hosts: readonly string[],
  step: StepId,
  queue: string,
  terms: AdviceTerms,
  workerIds: readonly string[],
): boolean {
  const key = stepKey(step);
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  if (advice.openRequestId !== undefined || workerIds.length === 0) {
    return false;
  }
  const includedIds = workerIds.slice(0, MAX_WORKERS_PER_REQUEST);
  const expectedMillis =
    terms.decisionMillis + terms.perWorkerMillis * includedIds.length;
  const host = chooseHost(update, hosts, expectedMillis, update.now);
  if (host === undefined) {
    return false;
  }
  const count = update.write(ADVICE_REQUEST_COUNT);
  count.set(count.get() + 1);
  const requestId = String(count.get());
  addCall(update, host, expectedMillis);
  update.write(ADVICE).set(key, {...advice, openRequestId: requestId});
  const sentAt = update.now;
  update
    .write(OPEN_ADVICE_REQUESTS)
    .set(requestId, {step, queue, host, workerIds: includedIds, sentAt});
  // The adviser handles one call of a host at a time, so this one may wait.
  const timeoutMillis = expectedMillis * 3 + RESPONSE_MARGIN_MILLIS;
  reachTakeOverStep(update, 'advice-requested');
  update.emit(REQUEST_ADVICE, {
    requestId,
    host,
    step,
    workerIds: includedIds,
    timeoutMillis,
  });
  return true;
}

/** Stores the advice received for a step and schedules a placement pass. */
export function onAdviceReceived(
  update: Update,
  {requestId, advice}: PayloadOf<typeof ADVICE_RECEIVED>,
): void {
  const request = update.read(OPEN_ADVICE_REQUESTS).get(requestId);
  if (request === undefined) {
    return;
  }
  update.write(OPEN_ADVICE_REQUESTS).delete(requestId);
  removeCall(update, request.host, advice.kind);
  schedulePlacement(update);
  reachTakeOverStep(update, 'advice-received');
  const key = stepKey(request.step);
  update.emit(DISPATCH_EVENT, {
    event: 'advised',
    subject: key,
    detail: `${advice.kind} via ${request.host}, ${
      advice.kind === 'answered' ? advice.permits.length : 0
    } of ${request.workerIds.length}`,
    millis: Math.round(update.now - request.sentAt),
  });
  const previous = update.read(ADVICE).get(key);
  if (previous?.openRequestId !== requestId) {
    return;
  }
  if (advice.kind === 'answered') {
    const {queue, workerIds} = request;
    countPermits(update, queue, previous, workerIds, advice.permits);
  }
  const next: StepAdvice = {...previous, openRequestId: undefined};
  update
    .write(ADVICE)
    .set(
      key,
      advice.kind === 'answered'
        ? withPermits(next, request.workerIds, advice, update.now)
        : next,
    );
}

/** Returns the advice with the permits of the workers that a request named. */
function withPermits(
  previous: StepAdvice,
  workerIds: readonly string[],
  {
    permits,
    validityMillis,
  }: Extract<PayloadOf<typeof ADVICE_RECEIVED>['advice'], {kind: 'answered'}>,
  now: number,
): StepAdvice {
  const validUntil = now + validityMillis - TICKET_MARGIN_MILLIS;
  const permitById = new Map(previous.permits);
  for (const id of workerIds) {
    permitById.delete(id);
  }
  for (const {workerId, ticket} of permits) {
    permitById.set(workerId, {ticket, validUntil});
  }
  const queriedWorkers = new Set([...previous.queriedWorkers, ...workerIds]);
  return {...previous, permits: permitById, queriedWorkers};
}
