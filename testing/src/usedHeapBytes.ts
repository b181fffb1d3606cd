import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Returns the bytes of the heap that are in use after a garbage collection. */
export function usedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
