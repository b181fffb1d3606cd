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

/** Sends polls and orders to workers and dispatches their answers. */
export function createWorkersPlugin(
  client: WorkerClient,
  now: () => number,
): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerEffect(POLL_WORKER, async call => {
        const {incarnation, term, address, fence} = call;
        const sentAt = now();
        const outcome = await client.poll(call);
        if (outcome.kind === 'reported') {
          const {report} = outcome;
          kernel.dispatch(WORKER_REPORTED, {
            incarnation,
            term,
            address,
            sentAt,
            report,
          });
        } else {
          const {failure, detail} = outcome;
          kernel.dispatch(POLL_FAILED, {
            incarnation,
            term,
            address,
            fence,
            failure,
            detail,
          });
        }
      }),
      kernel.registerEffect(ORDER_START, async call => {
        const {order, term, id: workerId, fence} = call;
        const answer = await client.start(call, order);
        kernel.dispatch(START_ANSWERED, {
          ...answer,
          order,
          term,
          workerId,
          fence,
        });
      }),
      kernel.registerEffect(ORDER_STOP, async call => {
        const {runId, incarnation, term, id: workerId, fence} = call;
        const outcome = await client.stop(call, runId);
        kernel.dispatch(STOP_ANSWERED, {
          runKey: runKey(runId),
          incarnation,
          term,
          workerId,
          fence,
          outcome,
        });
      }),
    );
}
