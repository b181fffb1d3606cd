import type {Update} from '@samphireramp/kernel';
import {runKey} from '@samphireramp/jobs';
import {
  RUNS,
  WORKERS,
  changeRun,
  changeWorker,
  listOtherLives,
} from './FleetState';
import {beginLife} from './fence';
import {deleteLife} from './leaseGranting';
import {FLEET_EVENT, RUN_MOVED, type WorkerReport} from './messages';
import type {Run} from './Run';
import type {Worker, WorkerRecord} from './Worker';
import {noteCrash, reportCrash} from './workerCrashes';
import {discardRun, removeWorker} from './workerRemoval';

/**
 * Tells which life of a worker is the present one. Only an answer at its address
 * shows that; the worker registry names lives to ask, since an entry may come from
 * another writer or late, and start times from a clock that was set back.
 */

/** Adds a life of a worker. It gets runs once it has answered a poll. */
export function addIncarnation(
  update: Update,
  record: WorkerRecord,
  isRegistered: boolean,
): void {
  update.write(WORKERS).set(record.incarnation, {
    ...record,
    life: beginLife(update, record.id),
    isRegistered,
    hasReported: false,
    clock: undefined,
    leaseGrantedUntil: 0,
    leaseSentAt: -Infinity,
    answeredAt: update.now,
    heardPollSentAt: -Infinity,
    appliedEnd: 0,
    durableEnd: 0,
    oldestListedEnd: undefined,
    acknowledgement: 'none',
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
    doubtedAt: undefined,
    endedBy: undefined,
    crash: undefined,
    isCrashReported: false,
    avoidedUntil: 0,
    probationUntil: 0,
  });
}

/**
 * Handles an answer to a poll of `worker` by another life of it. As that life
 * answered after the poll was sent, `worker` has ended or, if it never answered,
 * its entry was wrong or came late.
 */
export function onOtherLifeAnswered(
  update: Update,
  worker: Worker,
  report: WorkerReport,
): void {
  const present = report.incarnation;
  const known = update.read(WORKERS).get(present);
  if (known === undefined) {
    const {id, address, zone, rack, labels, pool, capacity} = worker;
    const described = {id, address, zone, rack, labels, pool, capacity};
    addIncarnation(
      update,
      {...described, incarnation: present, isDraining: false},
      false,
    );
    emitWorkerEvent(
      update,
      present,
      'worker-restarted',
      'answered',
      worker.incarnation,
    );
  } else {
    // It has seen the fence of this poll, which late calls to `worker` carry, too.
    const life =
      known.life > worker.life ? known.life : beginLife(update, known.id);
    changeWorker(update, present, {life, doubtedAt: undefined});
  }
  noteCrash(update, worker.incarnation, 'reborn', listRunKeys(report));
  const hasRuns = update.read(RUNS).withKey(worker.incarnation).length > 0;
  const detail = worker.hasReported || hasRuns ? 'reborn' : 'refuted';
  removeWorker(update, worker, detail, present);
}

/**
 * Ends the other lives of a worker at the first report of the present one. Their
 * runs that are not in the report can't start any more: the poll that it answers
 * has fenced the orders for them. Those that it reports are runs of this life.
 */
export function endOtherLives(
  update: Update,
  present: Worker,
  report: WorkerReport,
): void {
  const reportedKeys = listRunKeys(report);
  for (const worker of listOtherLives(update, present)) {
    const runs = update.read(RUNS).withKey(worker.incarnation);
    // A life that neither answered nor has runs may be the next one.
    if (!worker.hasReported && runs.length === 0) {
      continue;
    }
    noteCrash(update, worker.incarnation, 'reborn');
    reportCrash(update, worker.incarnation, reportedKeys);
    emitWorkerEvent(
      update,
      worker.incarnation,
      'worker-gone',
      'reborn',
      present.incarnation,
    );
    for (const run of runs) {
      if (reportedKeys.has(runKey(run.runId))) {
        moveRun(update, run, present.incarnation);
      } else {
        discardRun(update, run, 'worker-gone');
      }
    }
    deleteLife(update, worker.incarnation);
  }
}

/** Takes a run, also one that was to be stopped if it was there, for one of another life. */
function moveRun(
  update: Update,
  {runId, incarnation: from}: Run,
  to: string,
): void {
  changeRun(update, runKey(runId), {incarnation: to, phase: 'running'});
  update.dispatch(RUN_MOVED, {runId, from, to});
}

/** Lists the keys of the runs that a life has, or had. */
function listRunKeys({running, ended}: WorkerReport): Set<string> {
  return new Set([...running, ...ended].map(({runId}) => runKey(runId)));
}

/**
 * Has the other lives of a worker prove that they have not ended, once an entry
 * names a new one: until they answer, polls of them grant and acknowledge nothing.
 */
export function doubtOtherLives(update: Update, record: WorkerRecord): void {
  for (const worker of listOtherLives(update, record)) {
    if (worker.hasReported && worker.doubtedAt === undefined) {
      changeWorker(update, worker.incarnation, {doubtedAt: update.now});
      emitWorkerEvent(
        update,
        worker.incarnation,
        'worker-doubted',
        'entry',
        record.incarnation,
      );
    }
  }
}

/**
 * Deletes lives of a worker that were only named by entries which are replaced; one
 * that is being polled after that, as the answer tells which life is present.
 */
export function deleteUnheardLives(update: Update, record: WorkerRecord): void {
  for (const worker of listOtherLives(update, record)) {
    const hasRuns = update.read(RUNS).withKey(worker.incarnation).length > 0;
    if (worker.hasReported || hasRuns) {
      continue;
    }
    if (worker.isPollOpen) {
      changeWorker(update, worker.incarnation, {isRegistered: false});
    } else {
      deleteLife(update, worker.incarnation);
    }
  }
}

/** Logs an event of a life of a worker; `by` is the life that decided it. */
export function emitWorkerEvent(
  update: Update,
  worker: string,
  event: string,
  detail: string,
  by?: string,
): void {
  update.emit(FLEET_EVENT, {event, worker, detail, by});
}
