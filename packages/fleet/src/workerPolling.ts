import type {PayloadOf, Update} from '@samphireramp/kernel';
import {
  HOLDING_FENCED,
  dispatchWhenDurable,
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
import {
  acknowledgeableEnd,
  acknowledgementAnswered,
  acknowledgementFailed,
  acknowledgementSent,
  delayPollIfHeldBack,
} from './acknowledgements';
import {fenceOf, isFencedByOwnCall, latestLife} from './fence';
import {isLeaseBounded, liftBound} from './leaseBounds';
import {
  deleteLife,
  grantLease,
  isGrantingLeases,
  leaseEndAtFirstReport,
} from './leaseGranting';
import {leaseEnd} from './leaseTiming';
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
import {recordRunReported} from './unsettledOrders';
import {endOtherLives, onOtherLifeAnswered} from './workerLives';
import {discardRun, removeWorker} from './workerRemoval';

/** How long a worker with runs may hold back the answer until a run ends. */
const POLL_WAIT_MILLIS = 1000;
/** How long a worker without runs may hold back the answer to a poll. */
const IDLE_POLL_WAIT_MILLIS = 2000;
/** Time that a poll may take in addition to the wait at the worker. */
const POLL_ANSWER_MARGIN_MILLIS = 700;
/** Delay before the next poll of a worker after a poll failed. */
const POLL_RETRY_MILLIS = 200;
/** The same for a worker that only an entry names, which may be wrong. */
const UNHEARD_POLL_RETRY_MILLIS = 1000;
/**
 * Longest delay of a poll while reported ends are not durable. The poll then
 * goes out without their acknowledgement, because it renews the lease.
 */
const DURABILITY_POLL_DELAY_MILLIS = 400;

/** Polls a worker, if a poll is due. */
export function pollIfDue(update: Update, worker: Worker): void {
  const term = heldTerm(update);
  const isDue = !worker.isPollOpen && update.now >= worker.nextPollAt;
  if (term === undefined || !isDue || !update.read(MAY_COMMAND_WORKERS).get()) {
    return;
  }
  if (worker.isGone) {
    return;
  }
  // Otherwise a later life may receive the poll, whose ends nobody has read. The
  // lease of a silent worker is not renewed, so that it is sure to expire.
  const isSure = !worker.isSilent && worker.doubtedAt === undefined;
  const isBounded = isLeaseBounded(update, worker.incarnation);
  const mayGrant = isSure && !isBounded && isGrantingLeases(update, update.now);
  const leaseUntil =
    mayGrant && worker.clock ? leaseEnd(worker.clock, update.now) : undefined;
  const acknowledgedEnd = isSure
    ? acknowledgeableEnd(update, worker, update.now)
    : 0;
  const runs = update.read(RUNS).withKey(worker.incarnation);
  const mayLongPoll =
    worker.hasReported &&
    isSure &&
    !isBounded &&
    worker.appliedEnd === worker.durableEnd &&
    !runs.some(awaitsReport);
  const isIdle = runs.length === 0;
  const maxWaitMillis = isIdle ? IDLE_POLL_WAIT_MILLIS : POLL_WAIT_MILLIS;
  const waitMillis = mayLongPoll ? maxWaitMillis : 0;
  changeWorker(update, worker.incarnation, {
    isPollOpen: true,
    ...(acknowledgedEnd > 0 && {acknowledgement: acknowledgementSent(worker)}),
    ...(leaseUntil && grantLease(worker, leaseUntil, update.now)),
  });
  update.emit(POLL_WORKER, {
    incarnation: worker.incarnation,
    id: worker.id,
    address: worker.address,
    term,
    fence: fenceOf(term, worker.life),
    acknowledgedEnd,
    leaseUntil,
    waitMillis,
    timeoutMillis: waitMillis + POLL_ANSWER_MARGIN_MILLIS,
  });
}

/** Whether the next report shows if a run that is being stopped had started. */
function awaitsReport(run: Run): boolean {
  const isConfirmed = run.confirmedAt !== undefined;
  return run.phase === 'stopping' && isConfirmed && !run.isReported;
}

/** Applies the report of a worker: its ended, running and missing runs. */
export function onWorkerReported(
  update: Update,
  payload: PayloadOf<typeof WORKER_REPORTED>,
): void {
  const {incarnation, term, address, sentAt, report} = payload;
  const worker = update.read(WORKERS).get(incarnation);
  const isCurrent = worker?.endedBy === undefined && term === heldTerm(update);
  if (worker === undefined || !isCurrent) {
    return;
  }
  if (report.incarnation !== incarnation) {
    onOtherLifeAnswered(update, {...worker, address}, report);
    pollAgainIfDue(update, report.incarnation);
    return;
  }
  const leaseGrantedUntil = worker.hasReported
    ? worker.leaseGrantedUntil
    : leaseEndAtFirstReport(update, worker, report.clockMillis, sentAt);
  if (!worker.hasReported || worker.isSilent) {
    update.emit(FLEET_EVENT, {
      event: worker.hasReported ? 'worker-regained' : 'worker-held',
      worker: incarnation,
      detail: `running-${report.running.length}`,
      millis: Math.round(update.now - worker.answeredAt),
      leaseUntil: leaseGrantedUntil,
      workerClock: report.clockMillis,
    });
  }
  const appliedEnd = applyReportedEnds(update, worker, report, sentAt);
  changeWorker(update, incarnation, {
    address,
    hasReported: true,
    isSilent: false,
    refusesConnections: false,
    isGone: false,
    crash: undefined,
    doubtedAt: sentAt >= (worker.doubtedAt ?? 0) ? undefined : worker.doubtedAt,
    isPollOpen: false,
    clock: {clockMillis: report.clockMillis, receivedAt: update.now},
    leaseGrantedUntil,
    answeredAt: update.now,
    heardPollSentAt: Math.max(worker.heardPollSentAt, sentAt),
    appliedEnd,
    oldestListedEnd: report.ended.at(0)?.endNumber,
    acknowledgement: acknowledgementAnswered(worker),
    nextPollAt:
      appliedEnd > worker.durableEnd || isLeaseBounded(update, incarnation)
        ? update.now + DURABILITY_POLL_DELAY_MILLIS
        : 0,
  });
  liftBound(update, incarnation, 'answered');
  if (!worker.hasReported) {
    endOtherLives(update, worker, report);
  }
  applyReportedRuns(update, incarnation, report.running, sentAt);
  discardMissingRuns(update, incarnation, report, sentAt);
  if (!worker.hasReported || appliedEnd > worker.appliedEnd) {
    update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
  }
  delayPollIfHeldBack(update, incarnation);
  pollAgainIfDue(update, incarnation);
}

function applyReportedEnds(
  update: Update,
  worker: Worker,
  report: WorkerReport,
  sentAt: number,
): number {
  const {incarnation} = worker;
  let {appliedEnd} = worker;
  for (const {endNumber: number, runId, outcome, checkpoint} of report.ended) {
    if (number <= appliedEnd) {
      continue;
    }
    appliedEnd = number;
    const run = update.read(RUNS).get(runKey(runId));
    if (run?.incarnation === incarnation) {
      recordRunReported(update, runKey(runId), sentAt, run.startOrders === 1);
    }
    const startedAt = run?.startedAt;
    // An end that is heard of after a silence says nothing about the run time.
    const ranMillis =
      startedAt === undefined || worker.isSilent
        ? undefined
        : update.now - startedAt;
    update.write(RUNS).delete(runKey(runId));
    update.dispatch(RUN_ENDED, {
      incarnation,
      runId,
      outcome,
      checkpoint,
      ranMillis,
    });
  }
  if (appliedEnd > worker.appliedEnd) {
    // The ends are acknowledged only once their effects are durable.
    update.dispatch(ENDS_APPLIED, {incarnation, upTo: appliedEnd});
  }
  return appliedEnd;
}

function applyReportedRuns(
  update: Update,
  incarnation: string,
  running: readonly ReportedRun[],
  sentAt: number,
): void {
  for (const reported of running) {
    const key = runKey(reported.runId);
    const run = update.read(RUNS).get(key);
    if (run === undefined || run.incarnation !== incarnation) {
      update.dispatch(UNEXPECTED_RUN_REPORTED, {
        incarnation,
        run: reported,
      });
      continue;
    }
    recordRunReported(update, key, sentAt, run.startOrders === 1);
    const isNew = run.confirmedAt === undefined;
    const isAdopted = run.startOrders === 0 && !run.isReported;
    const hasProgressed = reported.percentDone !== run.percentDone || isNew;
    changeRun(update, key, {
      phase: run.phase === 'stopping' ? 'stopping' : 'running',
      confirmedAt: run.confirmedAt ?? update.now,
      startedAt: isNew ? update.now : run.startedAt,
      isReported: true,
      percentDone: reported.percentDone,
      progressedAt: hasProgressed ? update.now : run.progressedAt,
      checkpoint: reported.checkpoint || run.checkpoint,
    });
    if (isNew || isAdopted) {
      update.dispatch(RUN_CONFIRMED, {runId: run.runId});
    }
  }
}

/**
 * Discards runs that the worker confirmed before but no longer reports. If the
 * report may lack ends, those of such runs come with a later one.
 */
function discardMissingRuns(
  update: Update,
  incarnation: string,
  report: WorkerReport,
  sentAt: number,
): void {
  if (report.mayLackEnds) {
    return;
  }
  const reportedKeys = new Set(report.running.map(run => runKey(run.runId)));
  const missingRuns = update
    .read(RUNS)
    .withKey(incarnation)
    .filter(
      run =>
        !reportedKeys.has(runKey(run.runId)) && mustBeReported(run, sentAt),
    );
  if (missingRuns.length > 0) {
    update.emit(FLEET_EVENT, {
      event: 'runs-missing',
      worker: incarnation,
      runs: missingRuns.length,
      ends: report.ended.length,
      millis: Math.round(update.now - sentAt),
    });
  }
  for (const run of missingRuns) {
    discardRun(update, run, 'missing');
  }
}

/**
 * Whether a run that exists must be in the answer to a poll sent at `sentAt`.
 */
function mustBeReported(run: Run, sentAt: number): boolean {
  if (run.phase === 'running' || run.phase === 'stopping') {
    return run.confirmedAt !== undefined && run.confirmedAt < sentAt;
  }
  return false;
}

/**
 * Handles a poll that failed: a newer holder has fenced this one, or the worker
 * is gone or silent.
 */
export function onPollFailed(
  update: Update,
  payload: PayloadOf<typeof POLL_FAILED>,
): void {
  const {incarnation, term, address, fence, failure, detail} = payload;
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined || term !== heldTerm(update)) {
    return;
  }
  if (failure === 'fenced') {
    onPollFenced(update, worker, fence);
    return;
  }
  const hasRuns = update.read(RUNS).withKey(incarnation).length > 0;
  if (!worker.hasReported && !worker.isRegistered && !hasRuns) {
    deleteLife(update, incarnation);
    return;
  }
  // At an address that an entry named, the worker may never have been.
  const hasAnsweredThere = worker.hasReported && worker.address === address;
  if (failure === 'other-life' && hasAnsweredThere) {
    removeWorker(update, worker, failure);
    return;
  }
  if (!worker.isSilent) {
    update.emit(FLEET_EVENT, {
      event: 'worker-silent',
      worker: incarnation,
      detail,
      millis: Math.round(update.now - worker.answeredAt),
    });
  }
  changeWorker(update, incarnation, {
    isPollOpen: false,
    acknowledgement: acknowledgementFailed(worker),
    isSilent: true,
    refusesConnections: failure === 'closed',
    nextPollAt: update.now + pollRetryMillis(worker, hasRuns),
  });
}

/**
 * Handles a poll that a worker refused because of a higher fence: that of a newer
 * holder or, if an entry named another life, of an own poll meant for that.
 */
function onPollFenced(update: Update, worker: Worker, fence: number): void {
  const {id, incarnation} = worker;
  if (!isFencedByOwnCall(update, id, fence)) {
    update.dispatch(HOLDING_FENCED, {worker: incarnation});
    return;
  }
  // If that is refused, too, there is a newer holder.
  const life = latestLife(update, id);
  const acknowledgement = acknowledgementAnswered(worker);
  const change = {life, acknowledgement, isPollOpen: false, nextPollAt: 0};
  changeWorker(update, incarnation, change);
  pollAgainIfDue(update, incarnation);
}

function pollRetryMillis({hasReported}: Worker, hasRuns: boolean): number {
  return hasReported || hasRuns ? POLL_RETRY_MILLIS : UNHEARD_POLL_RETRY_MILLIS;
}

/** Polls a worker again, if a poll is due and the worker is still known. */
export function pollAgainIfDue(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker !== undefined) {
    pollIfDue(update, worker);
  }
}

/** Schedules the acknowledgement of ends for when their effects are durable. */
export function onEndsApplied(
  update: Update,
  payload: PayloadOf<typeof ENDS_APPLIED>,
): void {
  dispatchWhenDurable(update, ENDS_DURABLE, payload);
}

/** Marks ends as durable, so that the next poll acknowledges them. */
export function onEndsDurable(
  update: Update,
  {incarnation, upTo}: PayloadOf<typeof ENDS_DURABLE>,
): void {
  const worker = update.read(WORKERS).get(incarnation);
  if (worker === undefined) {
    return;
  }
  const durableEnd = Math.max(worker.durableEnd, upTo);
  const nextPollAt = durableEnd === worker.appliedEnd ? 0 : worker.nextPollAt;
  changeWorker(update, incarnation, {durableEnd, nextPollAt});
  pollAgainIfDue(update, incarnation);
}
