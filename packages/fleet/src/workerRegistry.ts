import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {beginLife} from './fence';
import {pollIfDue} from './workerPolling';
import {FLEET_EVENT, RESOURCES_CHANGED, WORKER_REGISTRY_READ} from './messages';
import {stopRun} from './runOrders';
import {forbidUnansweredOrders} from './unansweredOrders';
import type {Worker, WorkerRecord} from './Worker';
import {reportCrash} from './workerCrashes';
import {removeWorker, mayStillStart} from './workerRemoval';

/**
 * A worker that answered this recently was not deregistered for its silence.
 */
const RECENT_ANSWER_MILLIS = 3000;

/** Applies a snapshot or a change of the worker registry. */
export function onWorkerRegistryRead(
  update: Update,
  {records, removed, isSnapshot}: PayloadOf<typeof WORKER_REGISTRY_READ>,
): void {
  for (const record of records) {
    applyRecord(update, record);
  }
  const registered = new Set(records.map(({incarnation}) => incarnation));
  for (const worker of [...update.read(WORKERS).values()]) {
    const isRemoved =
      removed.includes(worker.id) ||
      (isSnapshot && !registered.has(worker.incarnation));
    if (isRemoved && worker.isRegistered) {
      // The registry drops the entry of a leaving worker at once, and that of a
      // silent worker only after some seconds.
      const hasLeft =
        worker.isDraining &&
        update.now - worker.answeredAt < RECENT_ANSWER_MILLIS;
      changeWorker(update, worker.incarnation, {isRegistered: false, hasLeft});
      emitWorkerEvent(update, worker.incarnation, 'worker-unlisted', '');
      removeIfUnused(update, worker.incarnation);
    }
  }
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

function applyRecord(update: Update, record: WorkerRecord): void {
  const known = update.read(WORKERS).get(record.incarnation);
  if (known === undefined) {
    update.write(WORKERS).set(record.incarnation, createWorker(update, record));
    forbidUnansweredOrders(update, record);
    emitWorkerEvent(update, record.incarnation, 'worker-listed', record.pool);
  } else {
    if (known.isDraining !== record.isDraining) {
      const event = record.isDraining ? 'worker-leaving' : 'worker-staying';
      emitWorkerEvent(update, record.incarnation, event, record.pool);
    }
    changeWorker(update, record.incarnation, {
      ...record,
      isRegistered: true,
      hasLeft: false,
      isGone: false,
    });
  }
  removeEarlierIncarnations(update, record);
  const worker = update.read(WORKERS).get(record.incarnation);
  if (worker !== undefined) {
    pollIfDue(update, worker);
  }
}

/**
 * Removes earlier incarnations of a worker once a later one is registered. A
 * poll meant for an earlier one would reach the later one, and acknowledge ends
 * that nobody has read. A start order in transit would start its run on the
 * later one; such a run is moved to the later one and stopped there, before its
 * task runs elsewhere.
 */
function removeEarlierIncarnations(update: Update, record: WorkerRecord): void {
  for (const worker of [...update.read(WORKERS).values()]) {
    if (worker.id === record.id && worker.bootedAt < record.bootedAt) {
      reportCrash(update, worker.incarnation, 'reborn');
      for (const run of update.read(RUNS).withKey(worker.incarnation)) {
        if (mayStillStart(run)) {
          const moved = {
            ...run,
            incarnation: record.incarnation,
            confirmedAt: undefined,
            startedAt: undefined,
            isReported: false,
          };
          update.write(RUNS).set(runKey(run.runId), moved);
          stopRun(update, moved, 'reborn');
        }
      }
      removeWorker(update, worker, 'reborn', record.incarnation);
    }
  }
}

function createWorker(update: Update, record: WorkerRecord): Worker {
  return {
    ...record,
    life: beginLife(update, record.id),
    isRegistered: true,
    hasReported: false,
    clock: undefined,
    leaseGrantedUntil: 0,
    answeredAt: update.now,
    appliedEnd: 0,
    durableEnd: 0,
    isPollOpen: false,
    nextPollAt: 0,
    isSilent: false,
    refusesConnections: false,
    consecutiveFailures: 0,
    lastFailedJobId: '',
    logSlowdown: 0,
    slowdownSamples: 0,
    hasLeft: false,
    isGone: false,
    isCrashReported: false,
    avoidedUntil: 0,
  };
}

/** Removes an unregistered, silent worker that has no runs. */
function removeIfUnused(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  const hasRuns = update.read(RUNS).withKey(incarnation).length > 0;
  if (worker?.isSilent && !hasRuns) {
    removeWorker(update, worker, worker.hasLeft ? 'left' : 'unlisted');
  }
}

function emitWorkerEvent(
  update: Update,
  worker: string,
  event: string,
  detail: string,
): void {
  update.emit(FLEET_EVENT, {event, worker, detail});
}
