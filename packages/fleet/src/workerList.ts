import type {PayloadOf, Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {holdIfDue} from './holdFlow';
import {FLEET_EVENT, RESOURCES_CHANGED, WORKER_REGISTRY_READ} from './messages';
import {stopRun} from './startFlow';
import type {Worker, WorkerRecord} from './Worker';
import {removeWorker, mayStillStart} from './workerLives';

/** An entry that goes this soon after an answer does not go for silence. */
const ANSWERED_LATELY_MILLIS = 3000;

/** Takes in changes of the list of workers. */
export function onWorkersListed(
  update: Update,
  {
    records,
    removed,
    isSnapshot: isWhole,
  }: PayloadOf<typeof WORKER_REGISTRY_READ>,
): void {
  for (const record of records) {
    takeRecord(update, record);
  }
  const listed = new Set(records.map(({incarnation: life}) => life));
  for (const worker of [...update.read(WORKERS).values()]) {
    const isRemoved =
      removed.includes(worker.id) ||
      (isWhole && !listed.has(worker.incarnation));
    if (isRemoved && worker.isRegistered) {
      // A silent worker's entry goes after seconds; one that leaves goes at once.
      const hasLeft =
        worker.isDraining &&
        update.now - worker.answeredAt < ANSWERED_LATELY_MILLIS;
      changeWorker(update, worker.incarnation, {isRegistered: false, hasLeft});
      emitChange(update, worker.incarnation, 'worker-unlisted', '');
      dropIfOver(update, worker.incarnation);
    }
  }
  update.dispatchOnce(RESOURCES_CHANGED, '', undefined);
}

function takeRecord(update: Update, record: WorkerRecord): void {
  const known = update.read(WORKERS).get(record.incarnation);
  if (known === undefined) {
    update
      .write(WORKERS)
      .set(record.incarnation, newWorker(record, update.now));
    emitChange(update, record.incarnation, 'worker-listed', record.pool);
  } else {
    if (known.isDraining !== record.isDraining) {
      const event = record.isDraining ? 'worker-leaving' : 'worker-staying';
      emitChange(update, record.incarnation, event, record.pool);
    }
    changeWorker(update, record.incarnation, {
      ...record,
      isRegistered: true,
      hasLeft: false,
    });
  }
  loseEarlierLives(update, record);
  const worker = update.read(WORKERS).get(record.incarnation);
  if (worker !== undefined) {
    holdIfDue(update, worker);
  }
}

/**
 * Gives up earlier lives once a later one is listed. A hold meant for an earlier
 * life would reach the later one, and drop ends that nobody has seen; an order
 * that is still on its way would start a run there, so that one is stopped there
 * before its task runs elsewhere.
 */
function loseEarlierLives(update: Update, record: WorkerRecord): void {
  for (const worker of [...update.read(WORKERS).values()]) {
    if (worker.id === record.id && worker.bootedAt < record.bootedAt) {
      for (const run of update.read(RUNS).withKey(worker.incarnation)) {
        if (mayStillStart(run)) {
          const moved = {
            ...run,
            incarnation: record.incarnation,
            confirmedAt: undefined,
            isReported: false,
          };
          update.write(RUNS).set(runKey(run.runId), moved);
          stopRun(update, moved, 'reborn');
        }
      }
      removeWorker(update, worker, 'reborn');
    }
  }
}

function newWorker(record: WorkerRecord, now: number): Worker {
  return {
    ...record,
    isRegistered: true,
    hasReported: false,
    clock: undefined,
    leaseGrantedUntil: 0,
    answeredAt: now,
    appliedEnd: 0,
    durableEnd: 0,
    isPollOpen: false,
    nextPollAt: 0,
    isSilent: false,
    consecutiveFailures: 0,
    lastFailedJobId: '',
    logSlowdown: 0,
    slowdownSamples: 0,
    hasLeft: false,
    avoidedUntil: 0,
  };
}

/** Forgets an unlisted worker on which nothing runs any more. */
function dropIfOver(update: Update, life: string): void {
  const worker = update.read(WORKERS).get(life);
  if (worker === undefined || !worker.isSilent) {
    return;
  }
  if (worker.hasLeft || update.read(RUNS).withKey(life).length === 0) {
    removeWorker(update, worker, worker.hasLeft ? 'left' : 'unlisted');
  }
}

function emitChange(
  update: Update,
  worker: string,
  event: string,
  detail: string,
): void {
  update.emit(FLEET_EVENT, {event, worker, detail});
}
