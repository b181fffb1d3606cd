import type {Unregister} from './Kernel';

/** Joins several unregister functions into one that runs them last first. */
export function mergeUnregister(...functions: Unregister[]): Unregister {
  return () => {
    for (const unregister of functions.reverse()) {
      unregister();
    }
    functions.length = 0;
  };
}
