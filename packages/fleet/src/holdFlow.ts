import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  HOLDING,
  HOLDING_FENCED,
  afterCommit,
  heldTerm,
} from '@samphireramp/holding';
import {runKey} from '@samphireramp/jobs';
import {MAY_HOLD, RUNS, WORKERS, changeRun, changeWorker} from './FleetState';
import {leaseEnd, surelyLapsedAt} from './leaseTiming';
import {
  ENDS_RECORDED,
  ENDS_TAKEN,
  FLEET_EVENT,
  HOLD_FAILED,
  HOLD_WORKER,
  type ListedRun,
  type Listing,
  ROOM_CHANGED,
  RUN_CONFIRMED,
  RUN_ENDED,
  RUN_FOUND,
  WORKER_HELD,
} from './messages';
import type {Run} from './Run';
import type {Worker} from './Worker';
import {awaitNextLife, loseWorker, voidRun} from './workerLives';

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
  const isDue = !worker.isHoldOpen && update.now >= worker.nextHoldAt;
  if (term === undefined || !isDue || !update.read(MAY_HOLD).get()) {
    return;
  }
  // A silent worker gets no longer lease, so that its leases surely lapse.
  const until =
    worker.clock === undefined || worker.isSilent
      ? undefined
      : leaseEnd(worker.clock, update.now);
  const mayWait =
    worker.isHeld && !worker.isSilent && worker.seenEnd === worker.recordedEnd;
  const isIdle = update.read(RUNS).withKey(worker.life).length === 0;
  const longest = isIdle ? IDLE_HOLD_WAIT_MILLIS : HOLD_WAIT_MILLIS;
  const waitMillis = mayWait ? longest : 0;
  changeWorker(update, worker.life, {
    isHoldOpen: true,
    grantedUntil: Math.max(worker.grantedUntil, until ?? 0),
  });
  update.emit(HOLD_WORKER, {
    life: worker.life,
    id: worker.id,
    address: worker.address,
    term,
    ackedEnd: worker.recordedEnd,
    until,
    waitMillis,
    timeoutMillis: waitMillis + ANSWER_MILLIS,
  });
}

/** Takes in what a worker lists. */
export function onHeld(
  update: Update,
  {life, term, sentAt, listing}: PayloadOf<typeof WORKER_HELD>,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || term !== heldTerm(update)) {
    return;
  }
  if (listing.life !== life) {
    awaitNextLife(update, worker);
    return;
  }
  if (!worker.isHeld || worker.isSilent) {
    update.emit(FLEET_EVENT, {
      event: worker.isHeld ? 'worker-regained' : 'worker-held',
      worker: life,
      detail: `running-${listing.running.length}`,
      millis: Math.round(update.now - worker.answeredAt),
    });
  }
  const seenEnd = takeEnds(update, worker, listing);
  changeWorker(update, life, {
    isHeld: true,
    isSilent: false,
    isHoldOpen: false,
    clock: {value: listing.clockMillis, at: update.now},
    answeredAt: update.now,
    seenEnd,
    nextHoldAt:
      seenEnd > worker.recordedEnd ? update.now + UNRECORDED_HOLD_MILLIS : 0,
  });
  takeRunning(update, life, listing.running);
  findMissing(update, life, listing, sentAt);
  if (!worker.isHeld || seenEnd > worker.seenEnd) {
    update.dispatchOnce(ROOM_CHANGED, '', undefined);
  }
  holdAgain(update, life);
}

function takeEnds(update: Update, worker: Worker, listing: Listing): number {
  let {seenEnd} = worker;
  for (const {number, place, how, checkpoint} of listing.ended) {
    if (number <= seenEnd) {
      continue;
    }
    seenEnd = number;
    const {life} = worker;
    const startedAt = update.read(RUNS).get(runKey(place))?.startedAt;
    const ranMillis = startedAt && update.now - startedAt;
    update.write(RUNS).delete(runKey(place));
    update.dispatch(RUN_ENDED, {life, place, how, checkpoint, ranMillis});
  }
  if (seenEnd > worker.seenEnd) {
    // Acknowledged only after what follows from the ends is durable.
    update.dispatch(ENDS_TAKEN, {life: worker.life, upTo: seenEnd});
  }
  return seenEnd;
}

function takeRunning(
  update: Update,
  life: string,
  running: readonly ListedRun[],
): void {
  for (const listed of running) {
    const key = runKey(listed.place);
    const run = update.read(RUNS).get(key);
    if (run === undefined || run.life !== life) {
      update.dispatch(RUN_FOUND, {life, run: listed});
      continue;
    }
    const isNew = run.startedAt === undefined;
    const hasProgressed = listed.percent !== run.percent || isNew;
    changeRun(update, key, {
      phase: run.phase === 'stopping' ? 'stopping' : 'running',
      startedAt: run.startedAt ?? update.now,
      isListed: true,
      percent: listed.percent,
      progressedAt: hasProgressed ? update.now : run.progressedAt,
      checkpoint: listed.checkpoint || run.checkpoint,
    });
    if (isNew) {
      update.dispatch(RUN_CONFIRMED, {place: run.place});
    }
  }
}

/** Finds runs that the worker confirmed before but lists no more. */
function findMissing(
  update: Update,
  life: string,
  listing: Listing,
  sentAt: number,
): void {
  const listed = new Set(listing.running.map(run => runKey(run.place)));
  for (const run of update.read(RUNS).withKey(life)) {
    if (!listed.has(runKey(run.place)) && mustBeListed(run, sentAt)) {
      voidRun(update, run, 'missing');
    }
  }
}

/** Whether a listing asked for at `sentAt` has the run, if it is there. */
function mustBeListed(run: Run, sentAt: number): boolean {
  if (run.phase === 'running' || run.phase === 'stopping') {
    return run.startedAt !== undefined && run.startedAt < sentAt;
  }
  return false;
}

/** Notes that a hold brought nothing. */
export function onHoldFailed(
  update: Update,
  {life, term, failure, detail}: PayloadOf<typeof HOLD_FAILED>,
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
    (failure === 'closed' && !worker.isListed);
  if (isGone) {
    loseWorker(update, worker, failure);
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
    isHoldOpen: false,
    isSilent: true,
    nextHoldAt: update.now + HOLD_RETRY_MILLIS,
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
  if (!worker.isSilent || update.now < surelyLapsedAt(worker, beganAt)) {
    return;
  }
  for (const run of update.read(RUNS).withKey(worker.life)) {
    voidRun(update, run, 'lapsed-silent');
  }
  if (!worker.isListed) {
    loseWorker(update, worker, 'silent-and-unlisted');
  }
}

/** Has ends acknowledged once all that follows from them is durable. */
export function onEndsTaken(
  update: Update,
  payload: PayloadOf<typeof ENDS_TAKEN>,
): void {
  afterCommit(update, ENDS_RECORDED, payload);
}

/** Acknowledges durable ends with the next hold. */
export function onEndsRecorded(
  update: Update,
  {life, upTo}: PayloadOf<typeof ENDS_RECORDED>,
): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined) {
    return;
  }
  const recordedEnd = Math.max(worker.recordedEnd, upTo);
  const nextHoldAt = recordedEnd === worker.seenEnd ? 0 : worker.nextHoldAt;
  changeWorker(update, life, {recordedEnd, nextHoldAt});
  holdAgain(update, life);
}
