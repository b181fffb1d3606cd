import type {PayloadOf, Update} from '@samphireramp/kernel';
import {RUNS, WORKERS, changeWorker} from './FleetState';
import {pollIfDue} from './workerPolling';
import {RESOURCES_CHANGED, WORKER_REGISTRY_READ} from './messages';
import type {Worker, WorkerRecord} from './Worker';
import {
  addIncarnation,
  deleteUnheardLives,
  doubtOtherLives,
  emitWorkerEvent,
} from './workerLives';
import {removeWorker} from './workerRemoval';

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
    addIncarnation(update, record, true);
    emitWorkerEvent(update, record.incarnation, 'worker-listed', record.pool);
    doubtOtherLives(update, record);
  } else if (contradicts(known, record)) {
    emitWorkerEvent(
      update,
      record.incarnation,
      'entry-refuted',
      record.address,
    );
    return;
  } else {
    updateWorker(update, known, record);
  }
  deleteUnheardLives(update, record);
  const worker = update.read(WORKERS).get(record.incarnation);
  if (worker !== undefined) {
    pollIfDue(update, worker);
  }
}

/**
 * Whether an entry is shown to be wrong or late by what the worker answered: it has
 * ended, or answers at another address, which it keeps for life.
 */
function contradicts(known: Worker, {address}: WorkerRecord): boolean {
  const hasMoved = known.hasReported && known.address !== address;
  return known.endedBy !== undefined || hasMoved;
}

function updateWorker(
  update: Update,
  known: Worker,
  record: WorkerRecord,
): void {
  if (known.isDraining !== record.isDraining) {
    const event = record.isDraining ? 'worker-leaving' : 'worker-staying';
    emitWorkerEvent(update, record.incarnation, event, record.pool);
  }
  const hasMoved = known.address !== record.address;
  changeWorker(update, record.incarnation, {
    ...record,
    nextPollAt: hasMoved ? 0 : known.nextPollAt,
    isRegistered: true,
    hasLeft: false,
    isGone: false,
  });
}

/** Removes an unregistered, silent worker that has no runs. */
function removeIfUnused(update: Update, incarnation: string): void {
  const worker = update.read(WORKERS).get(incarnation);
  const hasRuns = update.read(RUNS).withKey(incarnation).length > 0;
  if (worker?.isSilent && !hasRuns) {
    removeWorker(update, worker, worker.hasLeft ? 'left' : 'unlisted');
  }
}
