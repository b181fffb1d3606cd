import type {Hono} from 'hono';
import type {ModelWorker} from './ModelWorker';

/**
 * What becomes of a call: `busy` and `silent` calls are not carried out, `lost`
 * ones are without an answer, and `late` ones so after a while.
 */
export type CallFault = 'answered' | 'busy' | 'silent' | 'lost' | 'late';

/** How the platform treats calls just now. */
export interface PlatformFaultState {
  store(): CallFault;
  /** Starts and stops of runs at a worker. */
  order(worker: ModelWorker): CallFault;
  /** Milliseconds after which a late call is carried out. */
  lateMillis(): number;
}

/** Weather in which every call is answered. */
export const NO_PLATFORM_FAULTS: PlatformFaultState = {
  store: () => 'answered',
  order: () => 'answered',
  lateMillis: () => 0,
};

/** Has calls of an application meet their fates. */
export function injectCallFaults(
  app: Hono,
  paths: string,
  fate: () => CallFault,
  weather: PlatformFaultState,
): void {
  app.use(paths, async (context, next) => {
    const met = fate();
    if (met === 'answered') {
      return next();
    }
    if (met === 'busy') {
      return context.json({}, 503);
    }
    if (met !== 'silent') {
      // The body comes whole before the caller gives up.
      await context.req.arrayBuffer();
      if (met === 'late') {
        await new Promise(resolve => {
          setTimeout(resolve, weather.lateMillis()).unref();
        });
      }
      await next();
    }
    return new Promise<Response>(() => undefined);
  });
}
