import {heldTerm} from '@samphireramp/holding';
import type {JobStatus, PendingCount} from '@samphireramp/intake';
import {STATES_COPY} from '@samphireramp/job-states';
import type {Kernel} from '@samphireramp/kernel';
import {type LogFields, createLineBudget} from '@samphireramp/telemetry';
import type {ReporterOptions} from './ReporterOptions';

/** Reports answers that depend on what this host knows of the states of jobs. */
export interface AnswerReporter {
  onStatus(jobId: string, status: JobStatus): void;
  onPending(queue: string, count: PendingCount): void;
}

/**
 * Counts answers from the copy of the job states and logs them, up to a limit, with
 * the state of the copy that decided them.
 */
export function createAnswerReporter(
  kernel: Kernel,
  {log, metrics, now}: ReporterOptions,
): AnswerReporter {
  const mayLog = createLineBudget(now);

  function logWithinLimit(event: string, fields: LogFields): void {
    if (mayLog()) {
      log(event, {...fields, ...describeCopy(kernel, now())});
    }
  }

  return {
    onStatus: (jobId, status) => {
      if (status === 'absent' || status === 'unsure') {
        metrics.count('status_answers', {status});
        logWithinLimit(`status-${status}`, {job: jobId});
      }
    },
    onPending: (queue, count) => {
      const event = count === 'unsure' ? 'pending-unsure' : 'pending-counted';
      metrics.count('pending_answers', {event});
      logWithinLimit(event, {
        queue,
        count: count === 'unsure' ? undefined : count,
      });
    },
  };
}

/** How far this host's copy of the job states goes, and how old it is. */
function describeCopy(kernel: Kernel, now: number): LogFields {
  const copy = kernel.read(STATES_COPY).get();
  return {
    copyEnd: copy.endOffset,
    statesEnd: copy.logEndOffset,
    jobsMillis: ageOf(copy.jobsCompleteUntil, now),
    copyMillis: ageOf(copy.completeUntil, now),
    readMillis: ageOf(copy.readAt, now),
    holderMillis: ageOf(copy.holderHeardAt, now),
    term: heldTerm(kernel),
  };
}

function ageOf(time: number, now: number): number | undefined {
  return Number.isFinite(time) ? Math.round(now - time) : undefined;
}
