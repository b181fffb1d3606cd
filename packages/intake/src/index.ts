/** Accepts submits and cancels on any host, and reports job status. */
export {type IntakeOptions, createIntakePlugin} from './intakePlugin';
export {createRefusal} from './answerCall';
export {ACCEPTED_JOBS} from './IntakeState';
export {
  type JobStatus,
  type PendingCount,
  countPending,
  isOfOtherAccount,
  jobStatus,
} from './jobStatus';
export {
  ANSWER_CALL,
  APPEND_REQUESTS,
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_EVENT,
  INTAKE_TICK,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
  REQUEST_APPEND_ENDED,
  REQUEST_RECEIVED,
} from './messages';
export {type Request, type RequestAnswer, jobIdOf} from './Request';
