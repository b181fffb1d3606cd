import type {PayloadOf, Update} from '@samphireramp/kernel';
import {HOLDING_FENCED, heldTerm} from '@samphireramp/holding';
import {runKey} from '@samphireramp/jobs';
import {match} from 'ts-pattern';
import {
  RUNS,
  WORKERS,
  changeRun,
  changeWorker,
  freeResources,
  isOverCapacity,
} from './FleetState';
import {fenceAcknowledgements} from './acknowledgements';
import {fenceOf, isFencedByOwnCall} from './fence';
import {isLeaseBounded} from './leaseBounds';
import {grantLease, isGrantingLeases} from './leaseGranting';
import {expectedClock, leaseEnd} from './leaseTiming';
import {
  FLEET_EVENT,
  ORDER_START,
  ORDER_STOP,
  RUN_CONFIRMED,
  START_ANSWERED,
  START_GIVEN_UP,
  STOP_ANSWERED,
} from './messages';
import type {RejectedStartReason, Run, StartOrder} from './Run';
import {
  AWAITED_STOP_RETRY_MILLIS,
  STOP_RETRY_MILLIS,
  STOP_TIMEOUT_MILLIS,
} from './stopTiming';
import {
  recordStartOrder,
  recordStartRefused,
  recordStartTaken,
} from './unsettledOrders';
import {removeWorker, discardRun} from './workerRemoval';

/** Timeout of a start order, which is then repeated on another connection. */
const START_TIMEOUT_MILLIS = 450;
/** Number of unanswered start orders after which the run is stopped instead. */
const MAX_START_ORDERS = 3;

/** Sends the start order of a reserved run, or repeats it. */
export function sendStartOrder(update: Update, order: StartOrder): void {
  const run = update.read(RUNS).get(runKey(order.runId));
  const worker = update.read(WORKERS).get(order.incarnation);
  const term = heldTerm(update);
  const awaitsStart = run?.phase === 'reserved' || run?.phase === 'ordered';
  if (run === undefined || !awaitsStart) {
    return;
  }
  if (worker?.clock === undefined || term === undefined) {
    discardRun(update, run, 'missing');
    return;
  }
  if (!isGrantingLeases(update, update.now)) {
    giveUpStart(update, run, 'unconfirmed-holding');
    return;
  }
  // Of two lives of a worker, the other one may receive the order.
  const isDoubted = worker.doubtedAt !== undefined;
  if (isDoubted || isLeaseBounded(update, worker.incarnation)) {
    giveUpStart(update, run, 'no-answer');
    return;
  }
  // The worker may have shrunk while the placement was recorded.
  const isFirstOrder = run.phase === 'reserved';
  if (isFirstOrder && isOverCapacity(freeResources(update, worker))) {
    discardRun(update, run, 'no-room');
    return;
  }
  const leaseUntil = leaseEnd(worker.clock, update.now);
  changeWorker(
    update,
    worker.incarnation,
    grantLease(worker, leaseUntil, update.now),
  );
  changeRun(update, runKey(order.runId), {
    phase: 'ordered',
    lastOrderAt: update.now,
    startOrders: run.startOrders + 1,
  });
  recordStartOrder(update, worker, order);
  if (order.ticket === undefined) {
    fenceAcknowledgements(update, worker);
  }
  const {life} = update.read(WORKERS).get(worker.incarnation) ?? worker;
  update.emit(ORDER_START, {
    order,
    id: worker.id,
    address: worker.address,
    term,
    fence: fenceOf(term, life),
    leaseUntil,
    timeoutMillis: START_TIMEOUT_MILLIS,
  });
}

/** Handles the answer to a start order. */
export function onStartAnswered(
  update: Update,
  answer: PayloadOf<typeof START_ANSWERED>,
): void {
  const {order, term} = answer;
  const key = runKey(order.runId);
  const run = update.read(RUNS).get(key);
  if (term !== heldTerm(update)) {
    return;
  }
  const outcome = reinterpretFenced(update, answer);
  if (outcome === 'started') {
    recordStartTaken(update, order.runId, answer.clockMillis);
  } else if (answer.outcome !== 'silent') {
    recordStartRefused(update, order.runId);
  }
  if (run === undefined) {
    return;
  }
  emitStartAnswered(update, run, {...answer, outcome});
  match(outcome)
    .with('started', () => confirmRun(update, run))
    .with('silent', () => onStartUnanswered(update, run, order))
    .with('fenced', () =>
      update.dispatch(HOLDING_FENCED, {worker: run.incarnation}),
    )
    .with('other-life', () => {
      const worker = update.read(WORKERS).get(run.incarnation);
      if (worker !== undefined) {
        removeWorker(update, worker, 'other-life');
      }
    })
    .otherwise(reason => onStartRefused(update, run, reason));
}

/**
 * Discards a run whose only start order was refused. An earlier order without an
 * answer may still start the run: it is stopped, and kept until the worker has
 * confirmed that and reports without it.
 */
function onStartRefused(
  update: Update,
  run: Run,
  reason: RejectedStartReason,
): void {
  const hasUnansweredOrder = run.startOrders > 1;
  const isConfirmed = run.confirmedAt !== undefined;
  if (hasUnansweredOrder && (!isConfirmed || reason === 'superseded')) {
    giveUpStart(update, run, reason);
  } else if (!isConfirmed) {
    discardRun(update, run, reason);
  }
}

/** A refusal because of an own call to a later life says nothing of a newer holder. */
function reinterpretFenced<Outcome extends string>(
  update: Update,
  answer: {workerId: string; fence: number; outcome: Outcome},
): Outcome | 'silent' {
  const {workerId, fence, outcome} = answer;
  return outcome === 'fenced' && isFencedByOwnCall(update, workerId, fence)
    ? 'silent'
    : outcome;
}

/** Logs the answer to a start order, unless the first order was confirmed. */
function emitStartAnswered(
  update: Update,
  {startOrders, lastOrderAt}: Run,
  {order, outcome, clockMillis}: PayloadOf<typeof START_ANSWERED>,
): void {
  const {runId, incarnation} = order;
  const isConfirmed = outcome === 'started';
  if (isConfirmed && startOrders <= 1) {
    return;
  }
  const clock = update.read(WORKERS).get(incarnation)?.clock;
  update.emit(FLEET_EVENT, {
    event: isConfirmed ? 'start-confirmed' : 'start-not-confirmed',
    worker: incarnation,
    subject: runKey(runId),
    detail: outcome,
    millis: Math.round(update.now - lastOrderAt),
    orders: startOrders,
    workerClock: clockMillis,
    expectedClock: clock && expectedClock(clock, update.now),
  });
}

function confirmRun(update: Update, run: Run): void {
  if (run.confirmedAt !== undefined) {
    return;
  }
  // The next incarnation of a silent worker may have answered a repeated order.
  const isSilent = update.read(WORKERS).get(run.incarnation)?.isSilent ?? true;
  const isByThisIncarnation = !isSilent || run.startOrders === 1;
  changeRun(update, runKey(run.runId), {
    phase: run.phase === 'stopping' ? 'stopping' : 'running',
    confirmedAt: update.now,
    startedAt: isByThisIncarnation ? update.now : undefined,
    progressedAt: update.now,
  });
  update.dispatch(RUN_CONFIRMED, {runId: run.runId});
}

function onStartUnanswered(update: Update, run: Run, order: StartOrder): void {
  if (run.phase !== 'ordered') {
    return;
  }
  if (run.startOrders < MAX_START_ORDERS) {
    sendStartOrder(update, order);
  } else {
    giveUpStart(update, run, 'no-answer');
  }
}

function giveUpStart(
  update: Update,
  run: Run,
  reason: PayloadOf<typeof START_GIVEN_UP>['reason'],
): void {
  const {runId, incarnation} = run;
  stopRun(update, run, reason);
  update.dispatch(START_GIVEN_UP, {runId, incarnation, reason});
}

/**
 * Orders a worker to stop a run, and repeats the order until the worker reports
 * the end. A run whose start was not ordered yet is discarded.
 */
export function stopRun(update: Update, run: Run, reason: string): void {
  if (run.phase === 'reserved') {
    discardRun(update, run, 'missing');
    return;
  }
  if (run.phase !== 'stopping') {
    update.emit(FLEET_EVENT, {
      event: 'run-stopping',
      worker: run.incarnation,
      subject: runKey(run.runId),
      detail: reason,
      millis: Math.round(update.now - (run.confirmedAt ?? run.lastOrderAt)),
    });
  }
  sendStopOrder(update, run);
}

function sendStopOrder(update: Update, run: Run): void {
  const worker = update.read(WORKERS).get(run.incarnation);
  const term = heldTerm(update);
  if (worker === undefined || term === undefined) {
    return;
  }
  changeRun(update, runKey(run.runId), {
    phase: 'stopping',
    lastOrderAt: update.now,
  });
  update.emit(ORDER_STOP, {
    runId: run.runId,
    incarnation: worker.incarnation,
    id: worker.id,
    address: worker.address,
    term,
    fence: fenceOf(term, worker.life),
    timeoutMillis: STOP_TIMEOUT_MILLIS,
  });
}

/** Repeats the stop orders of runs that have not ended in time. */
export function resendStopOrders(update: Update): void {
  for (const run of [...update.read(RUNS).values()]) {
    const isDue = update.now - run.lastOrderAt > STOP_RETRY_MILLIS;
    if (run.phase === 'stopping' && isDue) {
      sendStopOrder(update, run);
    }
  }
}

/**
 * Handles the answer to a stop order. One that was meant for an earlier incarnation
 * says nothing of what the present one does.
 */
export function onStopAnswered(
  update: Update,
  answer: PayloadOf<typeof STOP_ANSWERED>,
): void {
  const {runKey: key, incarnation, term} = answer;
  if (term !== heldTerm(update)) {
    return;
  }
  const outcome = reinterpretFenced(update, answer);
  const run = update.read(RUNS).get(key);
  if (run?.incarnation !== incarnation) {
    return;
  }
  emitStopAnswered(update, run, outcome);
  if (outcome === 'fenced') {
    update.dispatch(HOLDING_FENCED, {worker: run.incarnation});
  } else if (outcome === 'stopped') {
    // From here on, a report without this run proves that it isn't running.
    changeRun(update, key, {confirmedAt: run.confirmedAt ?? update.now});
  } else if (outcome === 'silent' && run.confirmedAt === undefined) {
    // The task of the run waits for the confirmation.
    const retryAt = update.now + AWAITED_STOP_RETRY_MILLIS;
    changeRun(update, key, {lastOrderAt: retryAt - STOP_RETRY_MILLIS});
  }
}

/** Logs the answer to a stop order of a run that isn't known to have started. */
function emitStopAnswered(
  update: Update,
  {runId, incarnation, startOrders, confirmedAt, lastOrderAt}: Run,
  outcome: PayloadOf<typeof STOP_ANSWERED>['outcome'],
): void {
  if (confirmedAt !== undefined) {
    return;
  }
  update.emit(FLEET_EVENT, {
    event: 'stop-answered',
    worker: incarnation,
    subject: runKey(runId),
    detail: outcome,
    millis: Math.round(update.now - lastOrderAt),
    orders: startOrders,
  });
}
