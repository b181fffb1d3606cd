import {
  POLL_FAILED,
  POLL_WORKER,
  ORDER_START,
  ORDER_STOP,
  START_ANSWERED,
  STOP_ANSWERED,
  WORKER_REPORTED,
} from '@samphireramp/fleet';
import {runKey} from '@samphireramp/jobs';
import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import type {WorkerClient} from '@samphireramp/platform';

/** Carries orders to workers, and their answers back. */
export function createWorkersPlugin(
  client: WorkerClient,
  now: () => number,
): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerEffect(POLL_WORKER, async call => {
        const {incarnation: life, term} = call;
        const sentAt = now();
        const outcome = await client.hold(call);
        if (outcome.kind === 'held') {
          const {report: listing} = outcome;
          kernel.dispatch(WORKER_REPORTED, {
            incarnation: life,
            term,
            sentAt,
            report: listing,
          });
        } else {
          const {failure, detail} = outcome;
          kernel.dispatch(POLL_FAILED, {
            incarnation: life,
            term,
            failure,
            detail,
          });
        }
      }),
      kernel.registerEffect(ORDER_START, async call => {
        const {order, term} = call;
        const outcome = await client.start(call, order);
        kernel.dispatch(START_ANSWERED, {order, term, outcome});
      }),
      kernel.registerEffect(ORDER_STOP, async call => {
        const {runId: place, term} = call;
        const outcome = await client.stop(call, place);
        kernel.dispatch(STOP_ANSWERED, {runKey: runKey(place), term, outcome});
      }),
    );
}
