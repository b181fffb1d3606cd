import type {Update} from '@samphireramp/kernel';
import type {NotRunReason, RequestOutcome} from '@samphireramp/model';
import {CALL_DECIDED, WORK_EVENT} from './messages';
import {letLinger, releaseRoom} from './releaseRoom';
import {rememberOutcome} from './requestRecord';
import {OPEN_REQUESTS, type OpenRequest, REQUEST_RECORDS} from './WorkState';

const EVENT_OF_OUTCOME = {
  answered: 'request-answered',
  'not-run': 'request-refused',
  unknown: 'request-unknown',
} as const;

/** Answers everyone who waits for a request. */
export function finish(
  update: Update,
  row: OpenRequest,
  outcome: RequestOutcome,
): void {
  update.write(OPEN_REQUESTS).delete(row.callId);
  if (update.read(REQUEST_RECORDS).has(row.key)) {
    rememberOutcome(update, row, outcome);
  }
  for (const callId of [row.callId, ...row.followers]) {
    decide(update, callId, outcome);
  }
  update.emit(WORK_EVENT, {
    event: EVENT_OF_OUTCOME[outcome.outcome],
    subject: row.key,
    workload: row.workload,
    detail: `attempt ${row.attempt}`,
    millis: update.now - row.queuedAt,
  });
}

/** Gives back the room of the latest attempt. */
export function giveBackRoom(update: Update, row: OpenRequest): void {
  const {shardId, worker, team, held: need} = row;
  if (worker !== undefined && need !== undefined) {
    releaseRoom(update, {shardId, worker, team, need});
  }
}

/** The worker may still be at it: its room stays taken until it breaks off. */
export function keepRoom(update: Update, row: OpenRequest): void {
  const {shardId, worker, team, held: need, callId, attempt} = row;
  if (worker !== undefined && need !== undefined) {
    const room = {shardId, worker, team, need};
    letLinger(
      update,
      `${callId} ${attempt}`,
      room,
      row.deadline + LINGER_MILLIS,
    );
  }
}

/** Covers the worker's grace and the drift of its clock. */
const LINGER_MILLIS = 1000;

/** The outcome of a request of which surely nothing ran. */
export function notRun(
  key: string,
  reason: NotRunReason,
  detail: string,
): RequestOutcome {
  return {outcome: 'not-run', key, reason, detail};
}

/** The outcome of a request that may have run. */
export function unknown(key: string, detail: string): RequestOutcome {
  return {outcome: 'unknown', key, detail};
}

/** Tells the outcome of one call. */
export function decide(
  update: Update,
  callId: string,
  outcome: RequestOutcome,
): void {
  update.dispatch(CALL_DECIDED, {callId, outcome});
}
