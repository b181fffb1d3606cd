import {
  type PayloadOf,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {type AdviceTerms, type StepId, stepKey} from '@samphireramp/jobs';
import {ADVICE, NO_ADVICE, type StepAdvice} from './adviceState';
import {addCall, chooseHost, removeCall} from './adviserCalls';
import {ADVICE_RECEIVED, DISPATCH_EVENT, REQUEST_ADVICE} from './messages';
import {schedulePlacement} from './schedulePlacement';

/** Maximum number of workers in one request. */
export const MAX_WORKERS_PER_REQUEST = 100;
/** Part of a request's timeout that doesn't depend on its expected duration. */
const RESPONSE_MARGIN_MILLIS = 900;
/** A ticket isn't used this close to its expiry: starting a run takes time. */
const TICKET_MARGIN_MILLIS = 150;

interface OpenAdviceRequest {
  readonly step: StepId;
  readonly host: string;
  readonly workerIds: readonly string[];
  readonly sentAt: number;
}

/** Requests for advice without an answer, by request id. */
export const OPEN_ADVICE_REQUESTS =
  createTableSlice<OpenAdviceRequest>('open-asks');

/** Number of requests for advice so far, which is the id of the latest one. */
export const ADVICE_REQUEST_COUNT = createValueSlice('ask-count', 0);

/**
 * Requests advice on workers for a step, unless a request for it is open or no
 * host can take the call now.
 */
export function requestAdvice(
  update: Update,
  self: string,
  step: StepId,
  terms: AdviceTerms,
  workerIds: readonly string[],
): void {
  const key = stepKey(step);
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  if (advice.openRequestId !== undefined || workerIds.length === 0) {
    return;
  }
  const includedIds = workerIds.slice(0, MAX_WORKERS_PER_REQUEST);
  const expectedMillis =
    terms.decisionMillis + terms.perWorkerMillis * includedIds.length;
  const host = chooseHost(update, self, expectedMillis, update.now);
  if (host === undefined) {
    return;
  }
  const count = update.write(ADVICE_REQUEST_COUNT);
  count.set(count.get() + 1);
  const requestId = String(count.get());
  addCall(update, host, expectedMillis);
  update.write(ADVICE).set(key, {...advice, openRequestId: requestId});
  const sentAt = update.now;
  update
    .write(OPEN_ADVICE_REQUESTS)
    .set(requestId, {step, host, workerIds: includedIds, sentAt});
  // The adviser handles one call of a host at a time, so this one may wait.
  const timeoutMillis = expectedMillis * 3 + RESPONSE_MARGIN_MILLIS;
  update.emit(REQUEST_ADVICE, {
    requestId,
    host,
    step,
    workerIds: includedIds,
    timeoutMillis,
  });
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
