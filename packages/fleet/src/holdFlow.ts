import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  HOLDING,
  HOLDING_FENCED,
  dispatchOnceDurable,
  heldTerm,
} from '@samphireramp/holding';
import {runKey} from '@samphireramp/jobs';
import {
  MAY_COMMAND_WORKERS,
  RUNS,
  WORKERS,
  changeRun,
  changeWorker,
} from './FleetState';
import {leaseEnd, leasesExpiredAt} from './leaseTiming';
import {
  ENDS_DURABLE,
  ENDS_APPLIED,
  FLEET_EVENT,
  POLL_FAILED,
  POLL_WORKER,
  type ReportedRun,
  type WorkerReport,
  RESOURCES_CHANGED,
  RUN_CONFIRMED,
  RUN_ENDED,
  UNEXPECTED_RUN_REPORTED,
  WORKER_REPORTED,
} from './messages';
import type {Run} from './Run';
import type {Worker} from './Worker';
import {awaitNextLife, removeWorker, discardRun} from './workerLives';

/** How long a worker may keep a hold open while it waits for an end. */
const HOLD_WAIT_MILLIS = 1000;
/** The same where nothing runs. */
const IDLE_HOLD_WAIT_MILLIS = 2000;
/** Added to the wait before a hold counts as unanswered. */
const ANSWER_MILLIS = 700;
/** Pause after a hold that brought nothing. */
const HOLD_RETRY_MILLIS = 200;
/** Longest wait for ends to become durable before the lease is renewed. */
const UNRECORDED_HOLD_MILLIS = 400;

/** Sends a hold to a worker, if one is due. */
export function holdIfDue(update: Update, worker: Worker): void {
  const term = heldTerm(update);
  const isDue = !worker.isPollOpen && update.now >= worker.nextPollAt;
  if (term === undefined || !isDue || !update.read(MAY_COMMAND_WORKERS).get()) {
    return;
  }
  // A silent worker gets no longer lease, so that its leases surely lapse.
  const until =
    worker.clock === undefined || worker.isSilent
      ? undefined
      : leaseEnd(worker.clock, update.now);
  const mayWait =
    worker.hasReported &&
    !worker.isSilent &&
    worker.appliedEnd === worker.durableEnd;
  const isIdle = update.read(RUNS).withKey(worker.incarnation).length === 0;
  const longest = isIdle ? IDLE_HOLD_WAIT_MILLIS : HOLD_WAIT_MILLIS;
  const waitMillis = mayWait ? longest : 0;
  changeWorker(update, worker.incarnation, {
    isPollOpen: true,
    leaseGrantedUntil: Math.max(worker.leaseGrantedUntil, until ?? 0),
  });
  update.emit(POLL_WORKER, {
    incarnation: worker.incarnation,
    id: worker.id,
    address: worker.address,
    term,
    ackedEnd: worker.durableEnd,
    until,
    waitMillis,
    timeoutMillis: waitMillis + ANSWER_MILLIS,
  });
}

/** Takes in what a worker lists. */
export function onHeld(
  update: Update,
  {
    incarnation: life,
    term,
    sentAt,
    report: listing,
  }: PayloadOf<typeof WORKER_REPORTED>,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || term !== heldTerm(update)) {
    return;
  }
  if (listing.incarnation !== life) {
    awaitNextLife(update, worker);
    return;
  }
  if (!worker.hasReported || worker.isSilent) {
    update.emit(FLEET_EVENT, {
      event: worker.hasReported ? 'worker-regained' : 'worker-held',
      worker: life,
      detail: `running-${listing.running.length}`,
      millis: Math.round(update.now - worker.answeredAt),
    });
  }
  const seenEnd = takeEnds(update, worker, listing);
  changeWorker(update, life, {
    hasReported: true,
    isSilent: false,
    isPollOpen: false,
    clock: {clockMillis: listing.clockMillis, receivedAt: update.now},
    answeredAt: update.now,
    appliedEnd: seenEnd,
    nextPollAt:
      seenEnd > worker.durableEnd ? update.now + UNRECORDED_HOLD_MILLIS : 0,
  });
  takeRunning(update, life, listing.running);
  findMissing(update, life, listing, sentAt);
  if (!worker.hasReported || seenEnd > worker.appliedEnd) {
    update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
  }
  holdAgain(update, life);
}

function takeEnds(
  update: Update,
  worker: Worker,
  listing: WorkerReport,
): number {
  let {appliedEnd: seenEnd} = worker;
  for (const {
    number,
    runId: place,
    outcome: how,
    checkpoint,
  } of listing.ended) {
    if (number <= seenEnd) {
      continue;
    }
    seenEnd = number;
    const {incarnation: life} = worker;
    const startedAt = update.read(RUNS).get(runKey(place))?.confirmedAt;
    const ranMillis = startedAt && update.now - startedAt;
    update.write(RUNS).delete(runKey(place));
    update.dispatch(RUN_ENDED, {
      incarnation: life,
      runId: place,
      outcome: how,
      checkpoint,
      ranMillis,
    });
  }
  if (seenEnd > worker.appliedEnd) {
    // Acknowledged only after what follows from the ends is durable.
    update.dispatch(ENDS_APPLIED, {
      incarnation: worker.incarnation,
      upTo: seenEnd,
    });
  }
  return seenEnd;
}

function takeRunning(
  update: Update,
  life: string,
  running: readonly ReportedRun[],
): void {
  for (const listed of running) {
    const key = runKey(listed.runId);
    const run = update.read(RUNS).get(key);
    if (run === undefined || run.incarnation !== life) {
      update.dispatch(UNEXPECTED_RUN_REPORTED, {
        incarnation: life,
        run: listed,
      });
      continue;
    }
    const isNew = run.confirmedAt === undefined;
    const hasProgressed = listed.percent !== run.percent || isNew;
    changeRun(update, key, {
      phase: run.phase === 'stopping' ? 'stopping' : 'running',
      confirmedAt: run.confirmedAt ?? update.now,
      isReported: true,
      percent: listed.percent,
      progressedAt: hasProgressed ? update.now : run.progressedAt,
      checkpoint: listed.checkpoint || run.checkpoint,
    });
    if (isNew) {
      update.dispatch(RUN_CONFIRMED, {runId: run.runId});
    }
  }
}

/** Finds runs that the worker confirmed before but lists no more. */
function findMissing(
  update: Update,
  life: string,
  listing: WorkerReport,
  sentAt: number,
): void {
  const listed = new Set(listing.running.map(run => runKey(run.runId)));
  for (const run of update.read(RUNS).withKey(life)) {
    if (!listed.has(runKey(run.runId)) && mustBeListed(run, sentAt)) {
      discardRun(update, run, 'missing');
    }
  }
}

/** Whether a listing asked for at `sentAt` has the run, if it is there. */
function mustBeListed(run: Run, sentAt: number): boolean {
  if (run.phase === 'running' || run.phase === 'stopping') {
    return run.confirmedAt !== undefined && run.confirmedAt < sentAt;
  }
  return false;
}

/** Notes that a hold brought nothing. */
export function onHoldFailed(
  update: Update,
  {incarnation: life, term, failure, detail}: PayloadOf<typeof POLL_FAILED>,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || term !== heldTerm(update)) {
    return;
  }
  if (failure === 'fenced') {
    update.dispatch(HOLDING_FENCED, {worker: life});
    return;
  }
  const isGone =
    failure === 'other-life' ||
    worker.hasLeft ||
    (failure === 'closed' && !worker.isRegistered);
  if (isGone) {
    removeWorker(update, worker, failure);
    return;
  }
  if (!worker.isSilent) {
    update.emit(FLEET_EVENT, {
      event: 'worker-silent',
      worker: life,
      detail,
      millis: Math.round(update.now - worker.answeredAt),
    });
  }
  changeWorker(update, life, {
    isPollOpen: false,
    isSilent: true,
    nextPollAt: update.now + HOLD_RETRY_MILLIS,
  });
}

/** Holds a worker again at once, if its ends are durable. */
export function holdAgain(update: Update, life: string): void {
  const worker = update.read(WORKERS).get(life);
  if (worker !== undefined) {
    holdIfDue(update, worker);
  }
}

/** Gives up the runs of a worker whose leases have surely lapsed. */
export function lapseIfSilent(update: Update, worker: Worker): void {
  const {beganAt} = update.read(HOLDING).get();
  if (!worker.isSilent || update.now < leasesExpiredAt(worker, beganAt)) {
    return;
  }
  for (const run of update.read(RUNS).withKey(worker.incarnation)) {
    discardRun(update, run, 'lapsed-silent');
  }
  if (!worker.isRegistered) {
    removeWorker(update, worker, 'silent-and-unlisted');
  }
}

/** Has ends acknowledged once all that follows from them is durable. */
export function onEndsTaken(
  update: Update,
  payload: PayloadOf<typeof ENDS_APPLIED>,
): void {
  dispatchOnceDurable(update, ENDS_DURABLE, payload);
}

/** Acknowledges durable ends with the next hold. */
export function onEndsRecorded(
  update: Update,
  {incarnation: life, upTo}: PayloadOf<typeof ENDS_DURABLE>,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined) {
    return;
  }
  const recordedEnd = Math.max(worker.durableEnd, upTo);
  const nextHoldAt = recordedEnd === worker.appliedEnd ? 0 : worker.nextPollAt;
  changeWorker(update, life, {durableEnd: recordedEnd, nextPollAt: nextHoldAt});
  holdAgain(update, life);
}
