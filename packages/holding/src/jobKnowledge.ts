import type {HolderRecord} from './HolderRecord';

/**
 * What a copy of the journal up to the newest batch tells about requests, in
 * times of this host's monotonic clock.
 */
export interface JobKnowledge {
  /** The newest batch was appended after this time. */
  readonly appendedAfter: number;
  /**
   * With the newest batch, the copy has every job whose request was appended
   * before this time.
   */
  readonly jobsUntil: number;
}

/** What a host knows that has read no batch. */
export const NO_JOB_KNOWLEDGE: JobKnowledge = {
  appendedAfter: -Infinity,
  jobsUntil: -Infinity,
};

/**
 * Adds what a batch tells that was read after `previous`. Its age counts from the
 * previous batch and not from this one: the log may carry out an append long
 * after it was sent, but the holder has learned of the previous one before.
 */
export function learnFromBatch(
  knowledge: JobKnowledge,
  previous: HolderRecord | undefined,
  record: HolderRecord,
  appendedAfter: number,
): JobKnowledge {
  const {requestsAgeMillis} = record;
  const isNextBatch =
    previous?.incarnation === record.incarnation &&
    previous.term === record.term &&
    previous.batch + 1 === record.batch;
  const jobsUntil =
    isNextBatch && requestsAgeMillis !== undefined
      ? Math.max(
          knowledge.jobsUntil,
          knowledge.appendedAfter - requestsAgeMillis,
        )
      : knowledge.jobsUntil;
  return {appendedAfter, jobsUntil};
}

/** The age that a holder states in a batch; undefined if it is not known. */
export function requestsAge(
  requestsReadUntil: number,
  previousDurableAt: number,
): number | undefined {
  return Number.isFinite(requestsReadUntil)
    ? Math.ceil(previousDurableAt - requestsReadUntil)
    : undefined;
}
