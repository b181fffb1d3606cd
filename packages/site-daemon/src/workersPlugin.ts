import {
  HOLD_FAILED,
  HOLD_WORKER,
  ORDER_START,
  ORDER_STOP,
  START_ANSWERED,
  STOP_ANSWERED,
  WORKER_HELD,
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
      kernel.registerEffect(HOLD_WORKER, async call => {
        const {life, term} = call;
        const sentAt = now();
        const outcome = await client.hold(call);
        if (outcome.kind === 'held') {
          const {listing} = outcome;
          kernel.dispatch(WORKER_HELD, {life, term, sentAt, listing});
        } else {
          const {failure, detail} = outcome;
          kernel.dispatch(HOLD_FAILED, {life, term, failure, detail});
        }
      }),
      kernel.registerEffect(ORDER_START, async call => {
        const {order, term} = call;
        const outcome = await client.start(call, order);
        kernel.dispatch(START_ANSWERED, {order, term, outcome});
      }),
      kernel.registerEffect(ORDER_STOP, async call => {
        const {place, term} = call;
        const outcome = await client.stop(call, place);
        kernel.dispatch(STOP_ANSWERED, {runKey: runKey(place), term, outcome});
      }),
    );
}
