import {
  ANSWER_CALL,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
} from '@samphireramp/intake';
import type {ModelHost} from './ModelHost';

/** Sends a request to a host; undefined at once if the host is down. */
export function sendRequest(
  host: ModelHost,
  callId: string,
  request: Request,
): Promise<RequestAnswer | undefined> {
  return new Promise(resolve => {
    if (!host.isUp) {
      resolve(undefined);
      return;
    }
    const unregister = host.kernel.registerEffect(ANSWER_CALL, answered => {
      if (answered.callId === callId) {
        unregister();
        resolve(answered.answer);
      }
    });
    host.kernel.dispatch(REQUEST_RECEIVED, {callId, request});
  });
}
