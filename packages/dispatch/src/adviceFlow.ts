import {
  type PayloadOf,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {type AdviceTerms, type StepId, stepKey} from '@samphireramp/jobs';
import {ADVICE, NO_ADVICE, type StepAdvice} from './adviceState';
import {chooseLane, closeLane, openLane} from './adviceLanes';
import {REQUEST_ADVICE, ADVICE_RECEIVED, DISPATCH_EVENT} from './messages';
import {placeSoon} from './placeSoon';

/** Workers that one call may name. */
export const MOST_NAMED = 100;
/** Added to the expected time of a call before it counts as unanswered. */
const ANSWER_MILLIS = 900;
/** A ticket is not used in the last part of its time, for the way there. */
const TICKET_MARGIN_MILLIS = 150;

interface OpenAsk {
  readonly step: StepId;
  readonly host: string;
  readonly workerIds: readonly string[];
  readonly sentAt: number;
}

/** Calls for advice that are under way. */
export const OPEN_ASKS = createTableSlice<OpenAsk>('open-asks');

/** Counts calls for advice, to name them. */
export const ASK_COUNT = createValueSlice('ask-count', 0);

/** Asks about workers for a step, unless a call for it is under way. */
export function askAdvice(
  update: Update,
  self: string,
  step: StepId,
  terms: AdviceTerms,
  workerIds: readonly string[],
): void {
  const key = stepKey(step);
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  if (advice.openAsk !== undefined || workerIds.length === 0) {
    return;
  }
  const named = workerIds.slice(0, MOST_NAMED);
  const millis = terms.decisionMillis + terms.perWorkerMillis * named.length;
  const host = chooseLane(update, self, millis, update.now);
  if (host === undefined) {
    return;
  }
  const count = update.write(ASK_COUNT);
  count.set(count.get() + 1);
  const askId = String(count.get());
  openLane(update, host, millis);
  update.write(ADVICE).set(key, {...advice, openAsk: askId});
  const sentAt = update.now;
  update.write(OPEN_ASKS).set(askId, {step, host, workerIds: named, sentAt});
  // Calls of the same host wait for each other.
  const timeoutMillis = millis * 3 + ANSWER_MILLIS;
  update.emit(REQUEST_ADVICE, {
    askId,
    host,
    step,
    workerIds: named,
    timeoutMillis,
  });
}

/** Takes in advice. */
export function onAdvised(
  update: Update,
  {askId, advice}: PayloadOf<typeof ADVICE_RECEIVED>,
): void {
  const ask = update.read(OPEN_ASKS).get(askId);
  if (ask === undefined) {
    return;
  }
  update.write(OPEN_ASKS).delete(askId);
  closeLane(update, ask.host, advice.kind);
  placeSoon(update);
  const key = stepKey(ask.step);
  update.emit(DISPATCH_EVENT, {
    event: 'advised',
    subject: key,
    detail: `${advice.kind} via ${ask.host}, ${
      advice.kind === 'answered' ? advice.permits.length : 0
    } of ${ask.workerIds.length}`,
    millis: Math.round(update.now - ask.sentAt),
  });
  const known = update.read(ADVICE).get(key);
  if (known?.openAsk !== askId) {
    return;
  }
  const next: StepAdvice = {...known, openAsk: undefined};
  update
    .write(ADVICE)
    .set(
      key,
      advice.kind === 'answered'
        ? withPermits(next, ask.workerIds, advice, update.now)
        : next,
    );
}

function withPermits(
  known: StepAdvice,
  workerIds: readonly string[],
  {
    permits,
    validityMillis,
  }: Extract<PayloadOf<typeof ADVICE_RECEIVED>['advice'], {kind: 'answered'}>,
  now: number,
): StepAdvice {
  const validUntil = now + validityMillis - TICKET_MARGIN_MILLIS;
  const held = new Map(known.permits);
  for (const id of workerIds) {
    held.delete(id);
  }
  for (const {workerId, ticket} of permits) {
    held.set(workerId, {ticket, validUntil});
  }
  const judged = new Set([...known.judged, ...workerIds]);
  return {...known, permits: held, judged};
}
