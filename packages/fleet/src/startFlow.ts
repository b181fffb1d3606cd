import type {PayloadOf, Update} from '@samphireramp/kernel';
import {HOLDING_FENCED, heldTerm} from '@samphireramp/holding';
import {runKey} from '@samphireramp/jobs';
import {match} from 'ts-pattern';
import {RUNS, WORKERS, changeRun, changeWorker} from './FleetState';
import {leaseEnd} from './leaseTiming';
import {
  FLEET_EVENT,
  ORDER_START,
  ORDER_STOP,
  RUN_CONFIRMED,
  START_ANSWERED,
  STOP_ANSWERED,
} from './messages';
import type {Run, StartOrder} from './Run';
import {removeWorker, discardRun} from './workerLives';

/** A start without an answer is sent again on another connection. */
const START_TIMEOUT_MILLIS = 450;
/** Starts without an answer after which the run is stopped instead. */
const MOST_STARTS = 3;
const STOP_TIMEOUT_MILLIS = 500;
/** A run that was told to stop is told again after this. */
const STOP_AGAIN_MILLIS = 700;

/** Orders a run that was reserved. */
export function orderStart(update: Update, order: StartOrder): void {
  const run = update.read(RUNS).get(runKey(order.runId));
  const worker = update.read(WORKERS).get(order.incarnation);
  const term = heldTerm(update);
  const isWanted = run?.phase === 'reserved' || run?.phase === 'ordered';
  if (run === undefined || !isWanted) {
    return;
  }
  if (worker?.clock === undefined || term === undefined) {
    discardRun(update, run, 'missing');
    return;
  }
  const until = leaseEnd(worker.clock, update.now);
  changeWorker(update, worker.incarnation, {
    leaseGrantedUntil: Math.max(worker.leaseGrantedUntil, until),
  });
  changeRun(update, runKey(order.runId), {
    phase: 'ordered',
    lastOrderAt: update.now,
    startOrders: run.startOrders + 1,
  });
  update.emit(ORDER_START, {
    order,
    id: worker.id,
    address: worker.address,
    term,
    until,
    timeoutMillis: START_TIMEOUT_MILLIS,
  });
}

/** Takes in the answer to a start. */
export function onStartAnswered(
  update: Update,
  {order, term, outcome}: PayloadOf<typeof START_ANSWERED>,
): void {
  const key = runKey(order.runId);
  const run = update.read(RUNS).get(key);
  if (run === undefined || term !== heldTerm(update)) {
    return;
  }
  if (outcome !== 'started') {
    update.emit(FLEET_EVENT, {
      event: 'start-not-confirmed',
      worker: run.incarnation,
      subject: key,
      detail: outcome,
      millis: Math.round(update.now - run.lastOrderAt),
    });
  }
  match(outcome)
    .with('started', () => confirm(update, run))
    .with('silent', () => onStartSilent(update, run, order))
    .with('fenced', () =>
      update.dispatch(HOLDING_FENCED, {worker: run.incarnation}),
    )
    .with('other-life', () => {
      const worker = update.read(WORKERS).get(run.incarnation);
      if (worker !== undefined) {
        removeWorker(update, worker, 'other-life');
      }
    })
    .otherwise(reason => {
      // An earlier order for the same run may have been obeyed.
      if (run.startOrders > 1 && reason === 'superseded') {
        stopRun(update, run, 'superseded');
      } else if (run.confirmedAt === undefined) {
        discardRun(update, run, reason);
      }
    });
}

function confirm(update: Update, run: Run): void {
  if (run.confirmedAt !== undefined) {
    return;
  }
  changeRun(update, runKey(run.runId), {
    phase: run.phase === 'stopping' ? 'stopping' : 'running',
    confirmedAt: update.now,
    progressedAt: update.now,
  });
  update.dispatch(RUN_CONFIRMED, {runId: run.runId});
}

function onStartSilent(update: Update, run: Run, order: StartOrder): void {
  if (run.phase !== 'ordered') {
    return;
  }
  if (run.startOrders < MOST_STARTS) {
    orderStart(update, order);
  } else {
    stopRun(update, run, 'no-answer');
  }
}

/** Tells a worker to stop a run, until its end is listed. */
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
  orderStop(update, run);
}

function orderStop(update: Update, run: Run): void {
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
    id: worker.id,
    address: worker.address,
    term,
    timeoutMillis: STOP_TIMEOUT_MILLIS,
  });
}

/** Sends stops again whose runs have not ended. */
export function repeatStops(update: Update): void {
  for (const run of [...update.read(RUNS).values()]) {
    const isDue = update.now - run.lastOrderAt > STOP_AGAIN_MILLIS;
    if (run.phase === 'stopping' && isDue) {
      orderStop(update, run);
    }
  }
}

/** Takes in the answer to a stop. */
export function onStopAnswered(
  update: Update,
  {runKey: key, term, outcome}: PayloadOf<typeof STOP_ANSWERED>,
): void {
  const run = update.read(RUNS).get(key);
  if (run === undefined || term !== heldTerm(update)) {
    return;
  }
  if (outcome === 'fenced') {
    update.dispatch(HOLDING_FENCED, {worker: run.incarnation});
  } else if (outcome === 'stopped') {
    // From here on a listing without this run proves that it is not there.
    changeRun(update, key, {confirmedAt: run.confirmedAt ?? update.now});
  }
}
