import type {Unregister} from './Kernel';

/**
 * Merges unregister functions into one that calls them in reverse order. A second
 * call does nothing.
 */
export function mergeUnregister(...functions: Unregister[]): Unregister {
  return () => {
    for (const unregister of functions.reverse()) {
      unregister();
    }
    functions.length = 0;
  };
}
