/** What decides the place of a step in the order of placement. */
export interface StepUrgency {
  /** Lower numbers are placed first. */
  readonly priority: number;
  /**
   * Whether its account has sent more than it is entitled to until now, so that the job
   * does not count as arrived yet.
   */
  readonly isExcess: boolean;
  /** When its job counts as arrived, in wall-clock milliseconds. */
  readonly arrivedAt: number;
  /**
   * Latest wall-clock time at which the step must start for its job to meet its
   * objective, if all that follows starts at once.
   */
  readonly latestStartAt: number;
}

/**
 * Number of steps that can meet their objective for each late one placed between
 * them, so that late jobs are completed too while more arrive than can be placed.
 */
const TIMELY_STEPS_PER_LATE_STEP = 4;

/** Steps in the order of placement. */
export interface OrderedSteps<S> {
  readonly entitled: readonly S[];
  /** Steps that only get what the others leave, whatever their priority. */
  readonly excess: readonly S[];
}

/**
 * Orders steps for placement. Within a priority, those that can still meet their
 * objective come first, by their latest start: in a burst that exceeds the free
 * resources, an order by objective alone would spend them on jobs that are late
 * already and make the others late one after the other. Late steps follow in order
 * of arrival. An account that sends many times its share only delays itself: what it
 * sends beyond comes last, by its virtual arrival.
 */
export function orderSteps<S>(
  steps: readonly S[],
  urgencyOf: (step: S) => StepUrgency,
  wallNow: number,
): OrderedSteps<S> {
  const entries = steps.map(step => ({step, ...urgencyOf(step)}));
  const entitled = entries.filter(({isExcess}) => !isExcess);
  const excess = entries.filter(({isExcess}) => isExcess);
  const timely = entitled.filter(each => each.latestStartAt >= wallNow);
  const late = entitled.filter(each => !(each.latestStartAt >= wallNow));
  timely.sort(
    (a, b) => a.priority - b.priority || a.latestStartAt - b.latestStartAt,
  );
  late.sort((a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt);
  excess.sort((a, b) => a.arrivedAt - b.arrivedAt);
  return {
    entitled: mergeByPriority(timely, late).map(({step}) => step),
    excess: excess.map(({step}) => step),
  };
}

/** Merges two lists that are sorted by priority, the timely steps first. */
function mergeByPriority<E extends StepUrgency>(
  timely: readonly E[],
  late: readonly E[],
): E[] {
  const merged: E[] = [];
  let nextLate = 0;
  let timelyInRow = 0;
  let priority: number | undefined;
  const takeLate = (isTaken: (each: E) => boolean) => {
    while (nextLate < late.length && isTaken(late[nextLate])) {
      merged.push(late[nextLate]);
      nextLate++;
    }
  };
  for (const each of timely) {
    if (each.priority !== priority) {
      takeLate(other => other.priority < each.priority);
      priority = each.priority;
      timelyInRow = 0;
    }
    merged.push(each);
    timelyInRow++;
    const isLateTurn =
      timelyInRow % TIMELY_STEPS_PER_LATE_STEP === 0 &&
      late[nextLate]?.priority === priority;
    if (isLateTurn) {
      merged.push(late[nextLate]);
      nextLate++;
    }
  }
  takeLate(() => true);
  return merged;
}
