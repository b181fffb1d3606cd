import type {Update} from '@samphireramp/kernel';
import type {PendingCall} from './IntakeState';
import {ANSWER_CALL, INTAKE_EVENT} from './messages';
import {type RequestAnswer, jobIdOf} from './Request';

/** How long callers whose request is refused are told to wait before a retry. */
const RETRY_AFTER_MILLIS = 1000;

/** Creates the answer that a request was not accepted and may be sent again. */
export function createRefusal(): RequestAnswer {
  return {kind: 'refused', retryAfterMillis: RETRY_AFTER_MILLIS};
}

/** Answers a call, and logs the answer with what decided it. */
export function answerCall(
  update: Update,
  {callId, request}: PendingCall,
  answer: RequestAnswer,
  detail: string,
  millis = 0,
): void {
  update.emit(ANSWER_CALL, {callId, answer});
  update.emit(INTAKE_EVENT, {
    event: `${request.kind}-${answer.kind}`,
    kind: request.kind,
    subject: jobIdOf(request),
    queue: request.kind === 'submit' ? request.job.policy.name : undefined,
    detail,
    millis,
  });
}
