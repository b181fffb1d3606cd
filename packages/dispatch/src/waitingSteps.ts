import {
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {addResources, stepKey} from '@samphireramp/jobs';
import {AccountWaits, describeLimits, forgetLimitsExcept} from './accountWaits';
import {ADVICE, NO_ADVICE} from './adviceState';
import {listCandidates} from './candidateList';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  hasRequiredTicket,
  isPermitted,
  meetsRequirements,
} from './candidates';
import {DISPATCH_EVENT} from './messages';
import type {PlacementFunctions} from './placementFunctions';
import {orderReadySteps, rememberExpected, stepIdOf} from './readySteps';
import {
  RESERVATIONS,
  type Reservation,
  countReservedTasks,
  describeReservedSteps,
} from './reservations';
import {countStartsUnderWay} from './TaskAllowance';

/** Interval between two checks of the waiting steps. */
const CHECK_INTERVAL_MILLIS = 1000;
/** A step is reported once it has waited for this long. */
const LONG_WAIT_MILLIS = 2000;
/** Maximum steps that one check reports, the most urgent first. */
const MAX_REPORTED_STEPS = 5;

/** When the waiting steps were last checked. */
export const WAITS_CHECKED_AT = createValueSlice('waits-looked-at', 0);

/** Since when each step waits, by step key: when a check first found it. */
export const WAITING_SINCE = createTableSlice<number>('waiting-since');

/**
 * Logs what the most urgent of the long-waiting steps lack, and the limits of their
 * accounts that they meet. Of steps that wait for the same limits of one account, the
 * most urgent one is reported.
 */
export function reportWaitingSteps(
  update: Update,
  wallNow: number,
  {createStartQuota, expectedMillis}: PlacementFunctions,
): void {
  const checkedAt = update.write(WAITS_CHECKED_AT);
  if (update.now - checkedAt.get() < CHECK_INTERVAL_MILLIS) {
    return;
  }
  checkedAt.set(update.now);
  const sinceByStep = update.write(WAITING_SINCE);
  const readySteps = new Map(
    orderReadySteps(
      update,
      'all',
      wallNow,
      rememberExpected(expectedMillis),
    ).map(readyStep => [stepKey(stepIdOf(readyStep)), readyStep]),
  );
  for (const key of [...sinceByStep.keys()]) {
    if (!readySteps.has(key)) {
      sinceByStep.delete(key);
    }
  }
  forgetLimitsExcept(update, readySteps);
  const accountWaits = new AccountWaits(update, createStartQuota);
  let reportedSteps = 0;
  let candidates: Candidate[] | undefined;
  const reservations = update.read(RESERVATIONS).get();
  const stepsAhead = new Set<string>();
  for (const [key, readyStep] of readySteps) {
    const waitingSince = sinceByStep.get(key) ?? update.now;
    sinceByStep.set(key, waitingSince);
    accountWaits.observe(readyStep);
    const millis = Math.round(update.now - waitingSince);
    if (
      millis >= LONG_WAIT_MILLIS &&
      reportedSteps < MAX_REPORTED_STEPS &&
      accountWaits.isReportable(readyStep)
    ) {
      reportedSteps++;
      candidates ??= listCandidates(update, update.now);
      update.emit(DISPATCH_EVENT, {
        event: 'step-waits',
        subject: key,
        queue: readyStep.policy.name,
        detail: describeWait(
          update,
          key,
          readyStep,
          candidates,
          reservations.filter(({step}) => stepsAhead.has(step)),
        ),
        millis,
        account: readyStep.row.job.account || undefined,
        atLimits: describeLimits(update, key),
      });
    }
    stepsAhead.add(key);
  }
}

/**
 * Counts the open tasks of a step, the workers left at each condition, and what
 * the steps ahead of it reserve.
 */
function describeWait(
  update: Update,
  key: string,
  readyStep: ReadyStep,
  candidates: readonly Candidate[],
  reservationsAhead: readonly Reservation[],
): string {
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  const suitable = candidates.filter(({worker}) =>
    meetsRequirements(worker, readyStep),
  );
  const permitted = suitable.filter(({worker}) =>
    isPermitted(worker, readyStep, advice),
  );
  const validTickets = permitted.filter(({worker}) =>
    hasRequiredTicket(worker, readyStep, advice, update.now),
  ).length;
  const unreserved = withoutReserved(permitted, reservationsAhead);
  const gangsAhead = new Set(reservationsAhead.map(({step}) => step)).size;
  const starts = countStartsUnderWay(update);
  const openRequest =
    advice.openRequestId === undefined ? '' : ', advice requested';
  return (
    `${starts.all} starts under way, ${starts.unrecorded} not recorded yet` +
    `, ${readyStep.openTasks.length} tasks, ${suitable.length} suitable workers` +
    `, ${advice.queriedWorkers.size} with advice, ${permitted.length} permitted` +
    `, ${countFittingOn(permitted, readyStep)} tasks fit${openRequest}` +
    `, ${validTickets} valid tickets, ${gangsAhead} gangs ahead reserve` +
    ` ${countReservedTasks(reservationsAhead)} tasks` +
    ` and leave ${countFittingOn(unreserved, readyStep)}` +
    describeReservedSteps(reservationsAhead, update.now)
  );
}

function countFittingOn(
  candidates: readonly Candidate[],
  readyStep: ReadyStep,
): number {
  return candidates.reduce(
    (sum, candidate) => sum + countFittingTasks(candidate, readyStep),
    0,
  );
}

/** Returns the workers with the resources that reservations leave. */
function withoutReserved(
  candidates: readonly Candidate[],
  reservations: readonly Reservation[],
): Candidate[] {
  const copies = candidates.map(candidate => ({...candidate}));
  const byIncarnation = new Map(
    copies.map(candidate => [candidate.worker.incarnation, candidate]),
  );
  for (const {incarnation, tasks, taskResources} of reservations) {
    const candidate = byIncarnation.get(incarnation);
    if (candidate !== undefined) {
      addResources(candidate, taskResources, -tasks);
    }
  }
  return copies;
}
