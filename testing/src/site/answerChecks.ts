import type {InvariantChecker, SubmittedJob} from './InvariantChecker';
import type {ModelHost} from './ModelHost';
import type {ModelSite} from './ModelSite';

/** Time after which every host must know an accepted job. */
export const VISIBLE_LIMIT_MILLIS = 3000;
/** Time after which an accepted job must be counted as pending until it starts. */
const COUNTED_LIMIT_MILLIS = VISIBLE_LIMIT_MILLIS + 2000;

/**
 * Reads the state of a job and the count of a queue at a host, and checks both. A
 * frozen host answers nobody; only the state that it would show is checked.
 */
export function readAnswers(
  site: ModelSite,
  host: ModelHost,
  jobId: string,
  queue: string,
): void {
  const state = site.readJobState(host, jobId);
  if (!host.isUp || host.isFrozen) {
    return;
  }
  const {checker, clock} = site;
  if (state === 'absent') {
    checkAbsentAnswer(checker, host.name, jobId, clock.now);
  }
  const count = site.readPending(host, queue);
  if (count !== 'unsure') {
    checkPendingAnswer(checker, host.name, queue, count, clock.now);
  }
}

/** Checks a host's answer that there is no such job, given at `now`. */
function checkAbsentAnswer(
  checker: InvariantChecker,
  host: string,
  jobId: string,
  now: number,
): void {
  const acceptedAt = checker.jobs.get(jobId)?.acceptedAt;
  if (acceptedAt !== undefined && now - acceptedAt > VISIBLE_LIMIT_MILLIS) {
    checker.reportViolation(
      'LOST',
      `${host} says that ${jobId}, accepted at ${acceptedAt}, is absent`,
    );
  }
}

/** Checks a host's count of the pending jobs of a queue, given at `now`. */
function checkPendingAnswer(
  checker: InvariantChecker,
  host: string,
  queue: string,
  count: number,
  now: number,
): void {
  const mustBeCounted = [...checker.jobs.values()].filter(
    submitted =>
      submitted.job.policy.name === queue &&
      isSurelyPending(checker, submitted, now),
  );
  if (count < mustBeCounted.length / 2) {
    checker.reportViolation(
      'MIXED',
      `${host} counts ${count} pending jobs of ${mustBeCounted.length}`,
    );
  }
}

function isSurelyPending(
  checker: InvariantChecker,
  {job, acceptedAt, isCancelRequested}: SubmittedJob,
  now: number,
): boolean {
  const hasDueTime = job.firstDueAt > 0;
  return (
    acceptedAt !== undefined &&
    now - acceptedAt > COUNTED_LIMIT_MILLIS &&
    !isCancelRequested &&
    !hasDueTime &&
    checker.countStarts(job.id) === 0
  );
}
