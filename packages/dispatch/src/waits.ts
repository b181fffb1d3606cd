import {
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {stepKey} from '@samphireramp/jobs';
import {ADVICE, NO_ADVICE} from './adviceState';
import {
  type Candidate,
  type Unit,
  fittingTasks,
  isPermitted,
  listCandidates,
  suits,
} from './candidates';
import {DISPATCH_EVENT} from './messages';
import {placeOf, unitsInOrder} from './waitingUnits';

/** Waiting steps are looked through this often. */
const LOOK_EVERY_MILLIS = 1000;
/** A step that has waited for this long is told of. */
const LONG_WAIT_MILLIS = 2000;
/** Steps told of at one look, the most urgent first. */
const MOST_TOLD = 5;

/** When waiting steps were last looked through. */
export const WAITS_LOOKED_AT = createValueSlice('waits-looked-at', 0);

/** Since when steps wait, by step, as seen at these looks. */
export const WAITING_SINCE = createTableSlice<number>('waiting-since');

/** Tells for a few steps that wait what it is that they lack. */
export function reportWaits(update: Update): void {
  const lookedAt = update.write(WAITS_LOOKED_AT);
  if (update.now - lookedAt.get() < LOOK_EVERY_MILLIS) {
    return;
  }
  lookedAt.set(update.now);
  const since = update.write(WAITING_SINCE);
  const units = new Map(
    unitsInOrder(update).map(unit => [stepKey(placeOf(unit)), unit]),
  );
  for (const key of [...since.keys()]) {
    if (!units.has(key)) {
      since.delete(key);
    }
  }
  let told = 0;
  let candidates: Candidate[] | undefined;
  for (const [key, unit] of units) {
    const waitingSince = since.get(key) ?? update.now;
    since.set(key, waitingSince);
    const millis = Math.round(update.now - waitingSince);
    if (millis >= LONG_WAIT_MILLIS && told < MOST_TOLD) {
      told++;
      candidates ??= listCandidates(update, update.now);
      update.emit(DISPATCH_EVENT, {
        event: 'step-waits',
        subject: key,
        queue: unit.policy.name,
        detail: describe(update, key, unit, candidates),
        millis,
      });
    }
  }
}

function describe(
  update: Update,
  key: string,
  unit: Unit,
  candidates: readonly Candidate[],
): string {
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  const suitable = candidates.filter(({worker}) => suits(worker, unit));
  const permitted = suitable.filter(({worker}) =>
    isPermitted(worker, unit, advice),
  );
  const room = permitted.reduce(
    (sum, candidate) => sum + fittingTasks(candidate, unit),
    0,
  );
  const asked = advice.openRequestId === undefined ? '' : ', asking';
  return (
    `${unit.open.length} tasks, ${suitable.length} workers suit, ` +
    `${advice.queriedWorkers.size} asked about, ${permitted.length} may, ` +
    `room for ${room}${asked}`
  );
}
