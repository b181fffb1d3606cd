import {
  type PayloadOf,
  type Plugin,
  type Update,
  createValueSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import {
  HOLDING,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  PROGRESS_TOO_LARGE,
  heldTerm,
} from '@samphireramp/holding';
import {
  RESOURCES_CHANGED,
  RUNS,
  RUN_CONFIRMED,
  RUN_ENDED,
  RUN_MOVED,
  UNEXPECTED_RUN_REPORTED,
  RUN_DISCARDED,
  START_GIVEN_UP,
  WORKER_CRASHED,
  WORKERS,
  leasesExpiredAt,
  discardRun,
} from '@samphireramp/fleet';
import {
  ADVICE_REQUEST_COUNT,
  OPEN_ADVICE_REQUESTS,
  PERMIT_COUNTS,
  onAdviceReceived,
} from './adviceFlow';
import {CALLS_BY_HOST} from './adviserCalls';
import {ADVICE} from './adviceState';
import {
  CANCELLED_JOBS,
  END_SEEN_AT,
  JOBS,
  PARTITIONS_READ,
} from './DispatchState';
import {CandidateList} from './candidateList';
import {onWorkerCrashed} from './crashFlow';
import {
  REQUEST_PARTITIONS,
  deleteEndedRequests,
  notePartition,
} from './endedRequests';
import {LIMITED_SINCE} from './accountWaits';
import {CRASH_TRIALS, endTrials} from './crashTrials';
import {
  applyRequests,
  failJob,
  forgetEndedJobs,
  onRequestsForgotten,
  startDueOccurrences,
} from './jobFlow';
import {
  ADVICE_RECEIVED,
  BEGIN_PASS,
  DISPATCH_TICK,
  FOLLOW_HOLDER_STREAMS,
  PLACE_TASKS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
  REQUESTS_READ_FAILED,
  UNFOLLOW_HOLDER_STREAMS,
} from './messages';
import {placeTasks} from './placement';
import {
  DEFAULT_PLACEMENT_FUNCTIONS,
  type PlacementFunctions,
} from './placementFunctions';
import {EXPECTED_FITS} from './expectedFits';
import {RESERVATION_PAUSES} from './reservationPauses';
import {
  onRunConfirmed,
  onRunDiscarded,
  onRunEnded,
  onStartGivenUp,
  onRunMoved,
  onUnexpectedRun,
} from './runFlow';
import {RESERVATIONS} from './reservations';
import {
  SCHEDULED_PASSES,
  beginPass,
  schedulePlacement,
} from './schedulePlacement';
import {
  REFUSED_SINCE,
  beginIfRestIsOutOfReach,
  onPartitionRead,
  onRequestsReadFailed,
} from './requestReading';
import {TAKE_OVER_STEPS} from './takeOverSteps';
import {AWAITS_STARTS} from './TaskAllowance';
import {
  ARE_REQUESTS_INCOMPLETE,
  UNAPPLIED_ENDS,
  applyKeptEnds,
  stopRunsWithoutJob,
} from './unreadJobs';
import {
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  reportWaitingSteps,
} from './waitingSteps';

/** Interval between two searches for ended jobs that can be forgotten. */
const FORGET_CHECK_INTERVAL_MILLIS = 2000;

/** When ended jobs that can be forgotten were last searched for. */
const FORGET_CHECKED_AT = createValueSlice('forgot-at', 0);

/** Options of the dispatch plug-in. */
export interface DispatchOptions {
  /** The name of this host. */
  readonly self: string;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Number of partitions of the request stream. */
  readonly partitions: number;
  /** How long the status of an ended job stays available, in milliseconds. */
  readonly keepEndedMillis: number;
  /** Replaces functions of `DEFAULT_PLACEMENT_FUNCTIONS`. */
  readonly functions?: Partial<PlacementFunctions>;
}

/** Creates the plug-in that places tasks and tracks their runs and jobs. */
export function createDispatchPlugin(options: DispatchOptions): Plugin {
  const {self, wallClock, partitions, keepEndedMillis} = options;
  const functions = {...DEFAULT_PLACEMENT_FUNCTIONS, ...options.functions};
  const candidateList = new CandidateList();

  function onRequestsRead(
    update: Update,
    payload: PayloadOf<typeof REQUESTS_READ>,
  ): void {
    if (heldTerm(update) === undefined) {
      return;
    }
    const {partition, jobIds, completeUntil} = payload;
    notePartition(update, partition, jobIds);
    applyRequests(update, payload, wallClock, functions.virtualDelayMillis);
    const wasIncomplete = update.read(ARE_REQUESTS_INCOMPLETE).get();
    const areAllRead = onPartitionRead(
      update,
      partition,
      completeUntil,
      partitions,
    );
    if (wasIncomplete && (areAllRead || payload.requests.length > 0)) {
      applyKeptEnds(update, end =>
        onRunEnded(update, end, wallClock, functions),
      );
    }
    if (wasIncomplete && areAllRead) {
      stopRunsWithoutJob(update);
    }
    beginIfRestIsOutOfReach(update, partitions, wallClock());
  }

  function onTick(update: Update): void {
    if (heldTerm(update) === undefined) {
      return;
    }
    startDueOccurrences(update, wallClock());
    const checkedAt = update.write(FORGET_CHECKED_AT);
    if (update.now - checkedAt.get() > FORGET_CHECK_INTERVAL_MILLIS) {
      checkedAt.set(update.now);
      forgetEndedJobs(update, keepEndedMillis);
      deleteEndedRequests(update);
    }
    discardRunsOnUnknownWorkers(update);
    endTrials(update);
    reportWaitingSteps(update, wallClock(), functions);
    schedulePlacement(update);
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(JOBS),
      kernel.registerSlice(CANCELLED_JOBS),
      kernel.registerSlice(END_SEEN_AT),
      kernel.registerSlice(REQUEST_PARTITIONS),
      kernel.registerSlice(PARTITIONS_READ),
      kernel.registerSlice(REFUSED_SINCE),
      kernel.registerSlice(ARE_REQUESTS_INCOMPLETE),
      kernel.registerSlice(UNAPPLIED_ENDS),
      kernel.registerSlice(CRASH_TRIALS),
      kernel.registerSlice(ADVICE),
      kernel.registerSlice(CALLS_BY_HOST),
      kernel.registerSlice(OPEN_ADVICE_REQUESTS),
      kernel.registerSlice(ADVICE_REQUEST_COUNT),
      kernel.registerSlice(PERMIT_COUNTS),
      kernel.registerSlice(SCHEDULED_PASSES),
      kernel.registerSlice(RESERVATIONS),
      kernel.registerSlice(RESERVATION_PAUSES),
      kernel.registerSlice(EXPECTED_FITS),
      kernel.registerSlice(AWAITS_STARTS),
      kernel.registerSlice(TAKE_OVER_STEPS),
      kernel.registerSlice(FORGET_CHECKED_AT),
      kernel.registerSlice(WAITS_CHECKED_AT),
      kernel.registerSlice(WAITING_SINCE),
      kernel.registerSlice(LIMITED_SINCE),
      kernel.registerCommand(HOLDING_BEGAN, update => {
        clearHoldingState(update);
        update.emit(FOLLOW_HOLDER_STREAMS, undefined);
      }),
      kernel.registerCommand(HOLDING_ENDED, update => {
        clearHoldingState(update);
        update.emit(UNFOLLOW_HOLDER_STREAMS, undefined);
      }),
      kernel.registerCommand(PROGRESS_TOO_LARGE, (update, {jobId}) =>
        failJob(update, jobId, wallClock()),
      ),
      kernel.registerCommand(REQUESTS_READ, onRequestsRead),
      kernel.registerCommand(REQUESTS_READ_FAILED, (update, payload) => {
        onRequestsReadFailed(update, payload);
        beginIfRestIsOutOfReach(update, partitions, wallClock());
      }),
      kernel.registerCommand(REQUESTS_FORGOTTEN, onRequestsForgotten),
      kernel.registerCommand(RESOURCES_CHANGED, update =>
        schedulePlacement(update),
      ),
      kernel.registerCommand(RUN_ENDED, (update, payload) =>
        onRunEnded(update, payload, wallClock, functions),
      ),
      kernel.registerCommand(RUN_DISCARDED, onRunDiscarded),
      kernel.registerCommand(RUN_CONFIRMED, onRunConfirmed),
      kernel.registerCommand(START_GIVEN_UP, onStartGivenUp),
      kernel.registerCommand(WORKER_CRASHED, (update, payload) =>
        onWorkerCrashed(update, payload, wallClock),
      ),
      kernel.registerCommand(UNEXPECTED_RUN_REPORTED, onUnexpectedRun),
      kernel.registerCommand(RUN_MOVED, onRunMoved),
      kernel.registerCommand(ADVICE_RECEIVED, onAdviceReceived),
      kernel.registerCommand(BEGIN_PASS, (update, {scope}) =>
        beginPass(update, scope),
      ),
      kernel.registerCommand(PLACE_TASKS, (update, {scope}) =>
        placeTasks(update, self, scope, wallClock(), candidateList, functions),
      ),
      kernel.registerCommand(DISPATCH_TICK, onTick),
    );
}

/** Discards the runs on unknown workers once earlier leases have expired. */
function discardRunsOnUnknownWorkers(update: Update): void {
  const {predecessor} = update.read(HOLDING).get();
  if (update.now < leasesExpiredAt(undefined, predecessor.heardAt)) {
    return;
  }
  for (const run of [...update.read(RUNS).values()]) {
    if (!update.read(WORKERS).has(run.incarnation)) {
      discardRun(update, run, 'lapsed-silent');
    }
  }
}

/** Clears the state of one holding; the configuration of the site stays. */
function clearHoldingState(update: Update): void {
  update.write(JOBS).clear();
  update.write(CANCELLED_JOBS).clear();
  update.write(END_SEEN_AT).clear();
  update.write(REQUEST_PARTITIONS).clear();
  update.write(PARTITIONS_READ).clear();
  update.write(REFUSED_SINCE).clear();
  update.write(ARE_REQUESTS_INCOMPLETE).set(false);
  update.write(UNAPPLIED_ENDS).clear();
  update.write(CRASH_TRIALS).clear();
  update.write(ADVICE).clear();
  update.write(CALLS_BY_HOST).clear();
  update.write(OPEN_ADVICE_REQUESTS).clear();
  update.write(WAITING_SINCE).clear();
  update.write(LIMITED_SINCE).clear();
  update.write(RESERVATIONS).set([]);
  update.write(RESERVATION_PAUSES).clear();
  update.write(EXPECTED_FITS).clear();
  update.write(TAKE_OVER_STEPS).clear();
}
