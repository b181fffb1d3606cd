import type {Update} from '@samphireramp/kernel';
import {RECORD_CHANGES} from '@samphireramp/journal';
import type {RequestOutcome} from '@samphireramp/model';
import {rememberFor} from './recordTask';
import {type OpenRequest, REQUEST_RECORDS} from './WorkState';

type RecordOwner = Pick<OpenRequest, 'key' | 'shardId' | 'workload'>;

/** Keeps what is known under the key of a request that must not run twice. */
export function saveRecord(
  update: Update,
  row: RecordOwner,
  outcome: RequestOutcome | undefined,
): void {
  const {key, shardId, workload} = row;
  const request = {key, shardId, workload, outcome};
  update.write(REQUEST_RECORDS).set(key, request);
  update.dispatch(RECORD_CHANGES, [{type: 'request', request}]);
}

/** What is unknown stays open in the record: the answer may still come. */
export function rememberOutcome(
  update: Update,
  row: RecordOwner,
  outcome: RequestOutcome,
): void {
  const isFinal = outcome.outcome === 'answered';
  if (isFinal) {
    saveRecord(update, row, outcome);
  } else if (outcome.outcome === 'not-run') {
    forgetRecord(update, row);
    return;
  }
  rememberFor(update, row.key, row.shardId);
}

/** Nothing ran under the key, so a retry may run. */
function forgetRecord(update: Update, {key, shardId}: RecordOwner): void {
  update.write(REQUEST_RECORDS).delete(key);
  update.dispatch(RECORD_CHANGES, [{type: 'forget', shardId, key}]);
}
