import type {Hono} from 'hono';
import type {ModelWorker} from './ModelWorker';

/**
 * How a call fails, or `answered`. `busy` and `silent` calls are not executed:
 * the former get status 503, the latter no answer. `lost` and `late` calls are
 * executed, the latter after a delay, but their answers never arrive.
 */
export type CallFault = 'answered' | 'busy' | 'silent' | 'lost' | 'late';

/** Decides which calls to the platform fail, and how. */
export interface PlatformFaultState {
  /** Returns the fault for a call to the store. */
  store(): CallFault;
  /** Returns the fault for an order to a worker to start or stop a run. */
  order(worker: ModelWorker): CallFault;
  /** Delay before a `late` call is executed. */
  lateMillis(): number;
}

/** Every call is answered. */
export const NO_PLATFORM_FAULTS: PlatformFaultState = {
  store: () => 'answered',
  order: () => 'answered',
  lateMillis: () => 0,
};

/** Makes calls to the matching paths of an HTTP application fail as drawn. */
export function injectCallFaults(
  app: Hono,
  paths: string,
  drawFault: () => CallFault,
  faultState: PlatformFaultState,
): void {
  app.use(paths, async (context, next) => {
    const fault = drawFault();
    if (fault === 'answered') {
      return next();
    }
    if (fault === 'busy') {
      return context.json({}, 503);
    }
    if (fault !== 'silent') {
      // Reads the whole body first: the caller may disconnect during the delay.
      await context.req.arrayBuffer();
      if (fault === 'late') {
        await new Promise(resolve => {
          setTimeout(resolve, faultState.lateMillis()).unref();
        });
      }
      await next();
    }
    return new Promise<Response>(() => undefined);
  });
}
